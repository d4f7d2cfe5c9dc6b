"""A randomized fault soak: real gateways, stand-ins, and faults from outside."""
