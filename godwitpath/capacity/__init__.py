"""Capacity of a service: how many engines, where, of which class and kind."""
