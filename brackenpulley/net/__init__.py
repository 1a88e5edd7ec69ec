"""Network layer: the event loop and the ingress's client, server, counter and discovery connections on sockets."""
