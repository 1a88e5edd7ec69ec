"""Limits on connections to each sim server while ingresses are drained and replaced.

`limits` is the replicated state, `holder` maintains one ingress's share of it, and `schedule` plans which ingresses are
replaced together; none of them does any I/O. `service` connects them to a running daemon."""
