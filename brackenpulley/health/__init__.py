"""How a daemon is: lag of its loop, descriptors, memory, age of its list; told to whoever watches it."""
