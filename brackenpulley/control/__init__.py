"""The control API, which changes settings at run time: HTTP with JSON on a loopback address or a Unix socket.

`api` decodes requests and builds replies without I/O, `server` serves them on the daemon's loop, and `client` is used
by the commands."""
