"""Failure detection and the list of live entries."""
