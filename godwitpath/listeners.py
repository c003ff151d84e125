"""Callbacks that must not be able to harm whoever calls them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic, ParamSpec

P = ParamSpec("P")


class Listeners(Generic[P]):
    """The callbacks for one kind of event.

    :param counts: where a callback that fails is counted, as `callback_errors`
    """

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._callbacks: list[Callable[P, object]] = []

    def add(self, callback: Callable[P, object]) -> None:
        """Call back with each event from now on."""
        self._callbacks.append(callback)

    def notify(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Tell every callback of an event."""
        for callback in self._callbacks:
            try:
                callback(*args, **kwargs)
            except Exception:
                self._counts["callback_errors"] += 1
