"""Simulated platform services and upstreams, and a load generator; not part of the product."""
