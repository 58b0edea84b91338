"""Randomized fault soak: real node processes on loopback, faults from outside, promises checked while it runs."""
