"""Failure detection and the membership list of the entry daemons."""
