"""Chooses which log lines are written about responses of one engine that exceed a limit.

An engine that sends without end would otherwise take the lines of all other failed sends, which are
bounded for all engines together. Each line that is left out follows one of the same engine and
limit, so that what became of a request can still be told.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.http1.response_limits import ResponseLimitExceeded

REPEAT_INTERVAL_S = 1.0
"""Shortest time between two lines about one engine and limit."""


@dataclass(slots=True)
class _Written:
    at_s: float
    left_out: int = 0


class LimitLines:
    """Log lines about responses of one engine that exceed a limit."""

    __slots__ = ("_written",)

    def __init__(self) -> None:
        # Last line that was written, by limit.
        self._written: dict[str, _Written] = {}

    def next_fields(
        self, error: Exception, now_s: float, required: bool = False
    ) -> dict[str, str | int] | None:
        """Return which limit a response exceeded, for the line about its failed send.

        :param error: why the send failed
        :param required: whether the line must be written
        :returns: None if the line is to be left out; no fields if no limit was exceeded
        """
        if not isinstance(error, ResponseLimitExceeded):
            return {}
        last = self._written.get(error.limit)
        if last is not None and now_s - last.at_s < REPEAT_INTERVAL_S and not required:
            last.left_out += 1
            return None
        self._written[error.limit] = _Written(now_s)
        fields: dict[str, str | int] = {"limit": error.limit, "amount": error.amount}
        if last is not None and last.left_out:
            fields["limit_left_out"] = last.left_out
        return fields
