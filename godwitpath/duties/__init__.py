"""Duties: singleton tasks that one daemon runs for all under a lease."""
