"""Agreed configuration of the fleet: revisions of plans, firms and addresses that every ingress applies in one order.

`rules`, `revisions` (the state machine of the replicated log), `wire`, `active` (the revision that applies in this
process) and `adoption` (the revision that applies in each other process) do no I/O. `store` keeps the active revision
on disk and `service` runs it all in a daemon; `control/api` calls `service`.
"""
