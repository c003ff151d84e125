"""Implementations of the ports that speak a protocol."""
