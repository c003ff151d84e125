"""Admission control at an entry (a gateway process): admit, queue or refuse calls.

The decision on a call depends on its predicted latency. A refused call gets a reservation: capacity
that is kept for a retry at a set time.
"""
