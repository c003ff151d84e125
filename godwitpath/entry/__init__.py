"""The entry daemon: wiring, callers, operators and dispatch."""
