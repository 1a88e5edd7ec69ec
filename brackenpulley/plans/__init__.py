"""The plan book, explicit reservations and leased allowance: what a firm may use, and from when.

Owned by the daemon (`service`), which tells the decision module by events; `book`, `reservations` and `leases` do no
I/O and may be called by tests and the lab as well."""
