"""What the announced stops say of the upstreams, look by look.

A stop is applied once to each upstream that it covers, in the upstream's incarnation of that
moment. When the stop is cancelled, the upstreams that it stopped serve again in their next
incarnation, unless they left that incarnation meanwhile for another reason.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.stops import Stop
from godwitpath.upstreams.table import Upstream, UpstreamTable, with_state


class StopView:
    """Turns looks at the announced stops into facts."""

    def __init__(self) -> None:
        self._applied: dict[Stop, dict[str, int]] = {}
        self._seen: set[Stop] = set()

    def fresh(self, stops: set[Stop]) -> list[Stop]:
        """Return the stops that no earlier look showed."""
        fresh = sorted(stops - self._seen, key=lambda stop: (stop.announced_at, stop.name))
        self._seen = stops
        return fresh

    def observe(self, stops: set[Stop], table: UpstreamTable) -> list[UpstreamFact]:
        """Return what a look tells; the caller applies it."""
        facts = [fact for stop in stops for fact in self._announced(stop, table)]
        for stop in set(self._applied) - stops:
            facts.extend(self._cancelled(stop, stops, table))
        return facts

    def dump(self) -> list[dict[str, Any]]:
        """Return the state as plain data."""
        return [
            {"kind": stop.kind, "name": stop.name, "announced_at": stop.announced_at}
            for stop in self._seen
        ]

    def _announced(self, stop: Stop, table: UpstreamTable) -> Iterator[UpstreamFact]:
        applied = self._applied.setdefault(stop, {})
        for upstream in table.all():
            if upstream.upstream_id in applied or not _covers(stop, upstream):
                continue
            if upstream.state == "serving":
                applied[upstream.upstream_id] = upstream.incarnation
                yield with_state(upstream, "leaving")

    def _cancelled(
        self, stop: Stop, stops: set[Stop], table: UpstreamTable
    ) -> Iterator[UpstreamFact]:
        for upstream_id, incarnation in self._applied.pop(stop).items():
            upstream = table.get(upstream_id)
            if upstream is None or any(_covers(other, upstream) for other in stops):
                continue
            # A deadline comes with a reclaim notice, which no operator can cancel.
            stopped = upstream.state == "leaving" and not upstream.leaving_deadline
            if stopped and upstream.incarnation == incarnation:
                yield with_state(upstream, "serving", newer=True)


def _covers(stop: Stop, upstream: Upstream) -> bool:
    return stop.covers_upstream(upstream.upstream_id, upstream.availability_zone)
