"""Benchmarks and the demo, run on loopback processes or in simulation."""
