"""Machines taken out for work, in an order that the ingresses settle among themselves and keep, whoever dies.

`permits` is the agreed state, applied from the log by every process alike; `order` says who may go; `clerk` is one
ingress's side. None has I/O. `service` puts them into a daemon; operators speak to it over the control API."""
