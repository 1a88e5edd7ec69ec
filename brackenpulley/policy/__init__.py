"""The decision module: its interface, its decisions and its records."""
