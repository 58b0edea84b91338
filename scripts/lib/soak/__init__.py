"""Randomized fault soak: runs real node processes on loopback, injects faults from outside and checks invariants."""
