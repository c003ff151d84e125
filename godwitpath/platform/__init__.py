"""Adapter to the users' platform: its names, formats and calls, and nothing that decides.

Every wire name is decoded here, once, into types whose fields say what they hold.
"""
