"""Supervision of a host group's instances: start, health checks, restart with back-off and rolling restart.

`spec`, `instance`, `backoff`, `rolling`, `sharing`, `notify` and `lines` make the decisions; `instance`, `backoff`,
`rolling` and `sharing` do no I/O. `supervisor` owns the processes and the sockets. An ingress that runs without a
supervisor loads none of this."""
