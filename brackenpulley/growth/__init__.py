"""Per-second counts of a whole fleet: a tally in the log of each ingress, and the command that merges these logs.

The daemon imports only `tally`, and only where the operator's file turns it on. `merge` only reads logs.
"""
