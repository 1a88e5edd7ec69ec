"""One revision of the configuration for all ingresses: checked whole, agreed in the log, in force one after the other.

`rules`, `revisions` (the part of the agreed log's machine), `wire`, `force` (which one holds here) and `rollcall` (who
has which) have no I/O; `store` keeps the last one on disk, `service` is a daemon's; `control/api` calls it."""
