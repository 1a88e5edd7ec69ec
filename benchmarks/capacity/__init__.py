"""Measures what each role of the fleet costs by its size, and writes docs/CAPACITY.md from the results."""
