"""The platform's wires on real sockets."""
