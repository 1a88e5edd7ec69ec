"""Health of a daemon: loop lag, descriptors, memory and age of its server list, reported to its supervisor."""
