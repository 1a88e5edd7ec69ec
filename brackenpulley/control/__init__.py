"""The control API: how settings change in service. HTTP with JSON on a loopback address or a Unix socket.

`api` decodes and answers without I/O, `server` is its side on the daemon's loop, `client` the one of the commands."""
