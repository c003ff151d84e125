"""Experiments that measure the decisions and the whole path."""
