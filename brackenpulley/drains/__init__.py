"""Connections at each server while ingresses are drained and replaced: their sum stays under its limit.

`limits` is the agreed state, `holder` one ingress's side of it, `schedule` which ingresses go together. None has I/O;
`service` puts them into a daemon."""
