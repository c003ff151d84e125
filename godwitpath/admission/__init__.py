"""Admission of a request: admit, queue or refuse."""
