"""Bodies of messages and answers: how much is received, forwarded and kept. It has no sockets and no clock of its own.

The north side and the south side exchange `Body` objects; the core passes them on without inspecting them.
"""
