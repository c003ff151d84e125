"""Adapter to the deployment platform: its names, formats and calls, without gateway logic.

Every wire format is decoded only here, into types with descriptive field names.
"""
