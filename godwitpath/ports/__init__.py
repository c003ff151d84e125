"""Ports: abstract interfaces to the outside systems, with their data types."""
