"""Durable usage records and their exact export to billing.

`tally` decides what becomes an entry, and `upload` what is sent and when it is retried; neither does I/O. `store`
persists entries in LMDB, `service` runs both on the daemon's event loop, and `files` exports entries to files. Only the
daemon and the command line use this package.
"""
