"""Adapters: implementations of the ports over a network protocol."""
