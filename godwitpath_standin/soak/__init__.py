"""Randomized soak test: runs daemons as processes, injects faults and checks invariants."""
