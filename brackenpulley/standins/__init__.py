"""Stand-ins for the parties around an ingress: sim servers, discovery, the counter, billing and clients.

They speak the published protocols on loopback sockets, run on any `net.loop.Loop`, record every exchange, and inject
scripted faults. The demo, the benchmarks and the tests run them. A serving ingress never imports them."""
