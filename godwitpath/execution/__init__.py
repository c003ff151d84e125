"""Execution records of non-idempotent calls.

An entry is a process of the entry daemon, which accepts requests and sends them upstream.
"""
