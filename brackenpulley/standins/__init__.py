"""Stand-ins for what surrounds an ingress: sim servers, discovery, the counter, billing and clients.

They speak the published protocols on loopback sockets and on any `net.loop.Loop`, keep a record of all that passed,
and break on a script. The demo, the benchmarks and the tests run them; a daemon that serves never loads them."""
