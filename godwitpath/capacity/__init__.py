"""Capacity of a service: number, availability zones and machine classes of its engines.

An entry is a gateway process. The entry that holds the capacity duty of a service in a region
acquires and releases the instances that its engines run on.
"""
