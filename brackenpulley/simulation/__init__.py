"""Processes of a fleet in virtual time: the code that serves, over a net, disks and clocks that fail by schedule.

Same seed, same run, event for event. Nothing that serves imports it; tests, benchmarks and the lab do."""
