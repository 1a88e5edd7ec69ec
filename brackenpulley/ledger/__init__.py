"""Durable counted use and its exact export to billing.

`tally` decides what is an entry, and `upload` what is sent again and when; neither does I/O. `store` keeps them in
LMDB, `service` runs both on the daemon's loop, `files` writes them out; only the daemon and the commands call these."""
