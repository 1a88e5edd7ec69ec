"""Membership between instances: SWIM with suspicion and Lifeguard's awareness, under a ring of keys.

A state machine without I/O (`protocol`) with one file a concern beside it; transport, clock and randomness are passed
in. Only installations whose ingresses may talk switch it on; the platform loads none of it."""
