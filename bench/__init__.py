"""Measures and the demo, run against real processes on loopback."""
