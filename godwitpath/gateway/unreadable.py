"""Logs and counts the values of other writers that cannot be read, each of them once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container
from typing import Any

from godwitpath.telemetry.decisions import decision


class UnreadableValues:
    """The keys whose current value cannot be read, and why.

    :param event: kind of the log lines
    :ivar counts: number of unreadable values so far, by kind of the log lines
    """

    def __init__(self, event: str) -> None:
        self.counts: Counter[str] = Counter({event: 0})
        self._event = event
        self._reasons: dict[str, str] = {}

    def note(self, key: str, reason: str, **fields: Any) -> None:
        """Note that the value of a key cannot be read; a value that is read again is known.

        :param reason: why it cannot be read
        :param fields: further fields of the log line
        """
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        self.counts[self._event] += 1
        decision(self._event, item=key, reason=reason, **fields)

    def forget(self, key: str) -> None:
        """Forget a key that was removed, or whose value can be read."""
        self._reasons.pop(key, None)

    def forget_all_but(self, keys: Container[str]) -> None:
        """Forget the keys that are not among the present ones."""
        self._reasons = {key: why for key, why in self._reasons.items() if key in keys}
