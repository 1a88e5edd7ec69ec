"""The decision module: brain, its interface and its records."""
