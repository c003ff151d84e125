"""Event callbacks; an exception in a callback does not reach the code that reports the event."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic, ParamSpec

P = ParamSpec("P")


class Listeners(Generic[P]):
    """Callbacks registered for one kind of event.

    :param counts: event counters of the owner; each exception in a callback increments
        `callback_errors`
    """

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._callbacks: list[Callable[P, object]] = []

    def add(self, callback: Callable[P, object]) -> None:
        """Register a callback for all later events."""
        self._callbacks.append(callback)

    def notify(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Call every registered callback with the arguments of an event."""
        for callback in self._callbacks:
            try:
                callback(*args, **kwargs)
            except Exception:
                self._counts["callback_errors"] += 1
