"""Maintenance of machines: takes servers and ingresses out of service, in an order that the ingresses agree on.

The order holds whichever process fails. `permits` is the replicated state, applied from the log by every process;
`order` decides which machine may be taken out; `agent` is the part of one ingress. None of them does any I/O. `service`
connects them to a running daemon; operators use it over the control API."""
