"""Keeps secrets out of dumps, log lines and messages."""

from __future__ import annotations

from typing import Any

REDACTED = "[redacted]"

_SECRET_NAMES = frozenset(
    {"key", "secret", "secret_key", "api_key", "authorization", "password", "token", "body"}
)


def redact(value: Any) -> Any:
    """Return a copy of a JSON-like value in which fields with secret names show no value.

    Empty values stay as they are, so that a reader sees what was not set.
    """
    if isinstance(value, dict):
        return {name: _shown(name, item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    return value


def _shown(name: Any, value: Any) -> Any:
    secret = isinstance(name, str) and name.lower() in _SECRET_NAMES
    if secret and isinstance(value, str | bytes):
        return REDACTED if value else value
    return redact(value)
