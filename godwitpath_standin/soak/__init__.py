"""A randomized soak: daemons as processes, faults from outside, promises that must hold."""
