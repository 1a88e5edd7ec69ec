"""Plan history, explicit reservations and quota leases: what a firm may use, and from when.

The services in `service` and `leasing` run on the daemon's loop and report to the decision module by events. `book`,
`reservations` and `leases` do no I/O, so tests and simulations use them directly.
"""
