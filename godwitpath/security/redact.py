"""Redaction of secrets in dumps, log lines and messages."""

from __future__ import annotations

from typing import Any

REDACTED = "[redacted]"

_SECRET_FIELD_NAMES = frozenset(
    {"key", "secret", "secret_key", "api_key", "authorization", "password", "token", "body"}
)


def redact(value: Any) -> Any:
    """Return a copy of a JSON-like value in which the values of secret fields are replaced.

    Empty values are kept, so that a reader sees which fields are not set.
    """
    if isinstance(value, dict):
        return {name: _redact_field(name, item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    return value


def _redact_field(name: Any, value: Any) -> Any:
    secret = isinstance(name, str) and name.lower() in _SECRET_FIELD_NAMES
    if secret and isinstance(value, str | bytes):
        return REDACTED if value else value
    return redact(value)
