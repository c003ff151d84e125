"""Tells entries that a restore of the store brought back from those that engines wrote.

A restored store may list an engine as ready that has said since that it leaves, or that has left.
A daemon that saw it leave knows better. What it found out is stated to the daemons that start later
(see :mod:`godwitpath.gateway.left_store`).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.gateway.store import era_of

MAX_LEFT = 500
"""Number of engines of which it is remembered that they left: a restored store may list them as
ready."""

RESTORE_SETTLE_S = 10.0
"""Time after a restore of the store within which engines have written their entries again, or these
have lapsed."""


@dataclass(slots=True, frozen=True)
class RestoredEntry:
    """An entry that a restore brought back, of an engine that leaves or has left.

    :ivar started_at_ms: start time of the engine in Unix milliseconds
    :ivar revision: store revision of the entry; the engine itself wrote every later one of the era
    """

    started_at_ms: int
    revision: int


class LeftEngines:
    """Remembers engines that said that they leave, or left.

    :ivar found: entries that this daemon found to be restored ones in the current era, by engine id
    :ivar found_more: set when there is another one
    """

    def __init__(self) -> None:
        self.found: dict[str, RestoredEntry] = {}
        self.found_more = asyncio.Event()
        self._stated: dict[str, RestoredEntry] = {}
        # Start time of each engine that said that it leaves, or was removed, and the store's era at
        # that time, by its id; those of the last ones.
        self._left: dict[str, tuple[int, int]] = {}
        # Loop time at which the first revision of the current era was seen.
        self._era_since_s = -math.inf

    def note_new_era(self) -> None:
        """Note that the store was restored."""
        self._era_since_s = asyncio.get_running_loop().time()
        self.found.clear()

    def note_left(self, incarnation: Incarnation, era: int) -> None:
        """Note that an engine said that it leaves, or was removed.

        :param era: the store's era
        """
        engine_id, started_at_ms = incarnation
        self._left.pop(engine_id, None)
        self._left[engine_id] = (started_at_ms, era)
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def left_before(self, incarnation: Incarnation, era: int) -> bool:
        """Return whether an engine left in an earlier era, and the current one is young."""
        engine_id, started_at_ms = incarnation
        left_started_at_ms, left_era = self._left.get(engine_id, (0, era))
        return left_era != era and left_started_at_ms == started_at_ms and not self._is_settled()

    def note_found(self, incarnation: Incarnation, revision: int) -> None:
        """Note that an entry is a restored one."""
        engine_id, started_at_ms = incarnation
        self.found[engine_id] = RestoredEntry(started_at_ms, revision)
        self.found_more.set()

    def forget_found(self, engine_id: str) -> None:
        """Forget an engine's restored entry: the engine wrote another one, or it ended."""
        self.found.pop(engine_id, None)

    def set_stated(self, stated: Mapping[str, RestoredEntry]) -> None:
        """Set the entries that daemons stated to be restored ones, by engine id."""
        self._stated = dict(stated)

    def as_stated(self, entry: EngineEntry, revision: int) -> EngineEntry:
        """Return an entry, as that of a leaving engine if daemons stated that it is a restored one.

        :param revision: store revision of the entry
        """
        stated = self._stated_of(entry, revision)
        if stated is None or revision > stated.revision:
            return entry
        return replace(entry, state=EngineState.DRAINING)

    def as_stated_in_view(self, entry: EngineEntry, revision: int) -> EngineEntry:
        """Return an entry of a peer's view, likewise.

        When the entry was written is not known, so that this holds while the era is young only.

        :param revision: store revision of the view
        """
        if self._stated_of(entry, revision) is None or self._is_settled():
            return entry
        return replace(entry, state=EngineState.DRAINING)

    def _stated_of(self, entry: EngineEntry, revision: int) -> RestoredEntry | None:
        stated = self._stated.get(entry.engine_id)
        if (
            stated is None
            or stated.started_at_ms != entry.started_at_ms
            or era_of(stated.revision) != era_of(revision)
        ):
            return None
        return stated

    def _is_settled(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return now_s - self._era_since_s >= RESTORE_SETTLE_S
