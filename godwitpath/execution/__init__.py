"""Execution records of non-idempotent calls."""
