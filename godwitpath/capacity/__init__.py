"""Capacity of a service: number, zones, machine classes and kinds of its engines."""
