"""Simulation of a fleet in virtual time: the production protocol code runs over simulated links, disks and clocks.

Runs are deterministic: the same seed gives the same sequence of events. Besides `standins`, which shares the link
model, only tests and benchmarks import this package."""
