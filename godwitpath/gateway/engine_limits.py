"""What a daemon knows of the limits on their requests that engines state.

An engine in need states in its responses how many requests per second it takes from all daemons
together, for as long as it states so. A daemon learns limits from the responses that it gets, and
from the reports of the others.

Each change of an engine's limit raises the version of the limit, as in a Lamport clock, so that an
older limit never replaces a newer one, whatever the clocks say. A response changes a known limit
only if its request was sent after that limit was learned: a slow response may be older. Lower
limits are the exception and apply at once.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass

from godwitpath.gateway.engines import EngineEntry, EngineRegistry
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.telemetry.decisions import decision

MAX_RATE_PER_S = 1e6
"""Limit from which an engine counts as unlimited: no deployment sends that many requests."""

REMOVED_RETENTION_S = 30.0
"""Time for which the limit of an engine without an entry is kept: entries that expire during an
outage of the store come back."""

LIFTED_REPORT_S = 30.0
"""Time for which a limit that has ended is reported to the other daemons."""

ReportedLimits = Mapping[str, tuple[int, int, float | None]]
"""Start time of the engine in Unix milliseconds, version and rate of each limit, by engine id."""


@dataclass(slots=True, frozen=True)
class EngineLimit:
    """A limit that an engine stated, or the end of one.

    :ivar rate_per_s: requests per second from all daemons together, None for no limit
    :ivar version: rises with each change
    """

    rate_per_s: float | None
    version: int

    def supersedes(self, known: EngineLimit) -> bool:
        """Return whether this limit replaces a known one.

        Of two changes of the same limit that different daemons learned, the lower one applies.
        """
        if self.version != known.version:
            return self.version > known.version
        return _comparable(self.rate_per_s) < _comparable(known.rate_per_s)


def _comparable(rate_per_s: float | None) -> float:
    return math.inf if rate_per_s is None else rate_per_s


@dataclass(slots=True)
class _KnownLimit:
    """A limit as known to this daemon.

    :ivar learned_at_s: loop time at which this daemon learned of the limit
    :ivar removed_at_s: loop time at which the engine's entry was found to be missing, None while
        it is present
    """

    limit: EngineLimit
    learned_at_s: float
    removed_at_s: float | None = None


class EngineLimits:
    """Holds the limit of each engine that has stated one.

    :param report_soon: set to have the next report to the other daemons sent at once
    """

    def __init__(self, report_soon: asyncio.Event) -> None:
        self._report_soon = report_soon
        # By engine id and start time in Unix milliseconds.
        self._known: dict[tuple[str, int], _KnownLimit] = {}

    def limit(self, entry: EngineEntry) -> EngineLimit | None:
        """Return the limit of an engine, None if it has none."""
        known = self._known.get(_key(entry))
        if known is None or known.limit.rate_per_s is None:
            return None
        return known.limit

    def last_known(self, entry: EngineEntry) -> EngineLimit:
        """Return what is known of an engine's limit, also if it has ended or was never stated."""
        known = self._known.get(_key(entry))
        return known.limit if known is not None else EngineLimit(None, 0)

    def note_response(
        self,
        entry: EngineEntry,
        response: EngineResponseFields,
        status: int,
        sent_at_s: float,
        request_id: str = "",
    ) -> None:
        """Learn from a response of an engine.

        :param sent_at_s: loop time at which the request was sent
        """
        if response.unreadable_limit:
            decision(
                "engine_limit_unreadable",
                request=request_id,
                engine=entry.engine_id,
                value=response.unreadable_limit,
            )
        if response.wrong_engine or not (response.from_engine or response.not_run):
            return
        known = self._known.get(_key(entry))
        rate_per_s = response.limit_per_s
        if rate_per_s is not None and rate_per_s >= MAX_RATE_PER_S:
            rate_per_s = None
        if rate_per_s is None and (known is None or response.unreadable_limit or status >= 300):
            # Only a success without the header ends a limit.
            return
        before = known.limit if known is not None else EngineLimit(None, 0)
        lower = _comparable(rate_per_s) < _comparable(before.rate_per_s)
        sent_later = known is None or sent_at_s > known.learned_at_s
        if rate_per_s == before.rate_per_s or not (lower or sent_later):
            return
        self._learn(
            _key(entry), EngineLimit(rate_per_s, before.version + 1), f"request {request_id}"
        )

    def apply_report(self, sender: str, limits: ReportedLimits) -> None:
        """Learn the limits that another daemon reported."""
        for engine_id, (started_at_ms, version, rate_per_s) in limits.items():
            key = (engine_id, started_at_ms)
            known = self._known.get(key)
            limit = EngineLimit(rate_per_s, version)
            if limit.supersedes(known.limit if known is not None else EngineLimit(None, 0)):
                self._learn(key, limit, sender)

    def reported(self) -> dict[str, tuple[int, int, float | None]]:
        """Return the limits to report to the other daemons, and those that ended lately.

        Those of engines without an entry are not reported: daemons that drop them would learn them
        again from one another.
        """
        now_s = asyncio.get_running_loop().time()
        return {
            engine_id: (started_at_ms, known.limit.version, known.limit.rate_per_s)
            for (engine_id, started_at_ms), known in self._known.items()
            if known.removed_at_s is None
            and (known.limit.rate_per_s is not None or now_s - known.learned_at_s < LIFTED_REPORT_S)
        }

    def drop_removed(self, engines: EngineRegistry) -> None:
        """Drop the limits of engines that have had no entry for a while."""
        now_s = asyncio.get_running_loop().time()
        for key, known in list(self._known.items()):
            engine = engines.get(key[0])
            if engine is not None and _key(engine.entry) == key:
                known.removed_at_s = None
            elif known.removed_at_s is None:
                known.removed_at_s = now_s
            elif now_s - known.removed_at_s >= REMOVED_RETENTION_S:
                del self._known[key]

    def _learn(self, key: tuple[str, int], limit: EngineLimit, source: str) -> None:
        known = self._known.get(key)
        before = known.limit.rate_per_s if known is not None else None
        self._known[key] = _KnownLimit(limit, asyncio.get_running_loop().time())
        if _comparable(limit.rate_per_s) < _comparable(before):
            self._report_soon.set()
        decision(
            "engine_limit",
            engine=key[0],
            limit_per_s=limit.rate_per_s,
            before_per_s=before,
            version=limit.version,
            source=source,
        )


def _key(entry: EngineEntry) -> tuple[str, int]:
    return entry.engine_id, entry.started_at_ms
