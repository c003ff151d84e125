"""Admission control: admit, queue or refuse a call by its predicted latency."""
