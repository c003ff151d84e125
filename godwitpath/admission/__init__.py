"""Admission: admit, queue or refuse a call from what it would see at its engine."""
