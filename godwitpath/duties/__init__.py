"""Duties: work that one daemon does for all under a lease."""
