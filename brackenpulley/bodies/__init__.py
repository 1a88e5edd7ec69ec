"""Bodies of messages and answers: what may be taken in, passed on and kept. No sockets, no clock of its own.

North and south hold a `Body` each other's way and ask it; the core passes it on without a look inside."""
