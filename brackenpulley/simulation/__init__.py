"""Simulation of a fleet in virtual time: the production protocol code runs over simulated links, disks and clocks.

Runs are deterministic: the same seed gives the same sequence of events. No production module but `standins`, which
shares the link model, imports this package; tests and benchmarks do."""
