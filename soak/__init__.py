"""A randomized fault-injection soak test of gateway processes against stand-ins."""
