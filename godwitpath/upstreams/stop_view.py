"""Derives facts about upstreams from polls of the announced stops.

A stop is applied once to each upstream that it covers, in the current incarnation of the upstream.
When the stop is cancelled, the upstreams that it stopped serve again in their next incarnation,
unless they are gone, were reclaimed, have a newer incarnation or are covered by another stop.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.stops import Stop
from godwitpath.upstreams.table import Upstream, UpstreamTable, with_state


class StopView:
    """Converts polls of the announced stops into facts."""

    def __init__(self) -> None:
        self._stopped_incarnations: dict[Stop, dict[str, int]] = {}
        self._announced_stops: set[Stop] = set()

    def new_stops(self, stops: set[Stop]) -> list[Stop]:
        """Return the stops that were not in the previous poll, in order of announcement."""
        new_stops = sorted(
            stops - self._announced_stops, key=lambda stop: (stop.announced_at, stop.name)
        )
        self._announced_stops = stops
        return new_stops

    def observe(self, stops: set[Stop], table: UpstreamTable) -> list[UpstreamFact]:
        """Return the new facts from a poll; the caller applies them to the table."""
        facts = [fact for stop in stops for fact in self._facts_from_announced(stop, table)]
        for stop in set(self._stopped_incarnations) - stops:
            facts.extend(self._facts_from_cancelled(stop, stops, table))
        return facts

    def dump(self) -> list[dict[str, Any]]:
        """Return the state for the state dump."""
        return [
            {"kind": stop.kind, "name": stop.name, "announced_at": stop.announced_at}
            for stop in self._announced_stops
        ]

    def _facts_from_announced(self, stop: Stop, table: UpstreamTable) -> Iterator[UpstreamFact]:
        stopped_incarnations = self._stopped_incarnations.setdefault(stop, {})
        for upstream in table.all():
            if upstream.upstream_id in stopped_incarnations or not _covers(stop, upstream):
                continue
            if upstream.state == "serving":
                stopped_incarnations[upstream.upstream_id] = upstream.incarnation
                yield with_state(upstream, "leaving")

    def _facts_from_cancelled(
        self, stop: Stop, stops: set[Stop], table: UpstreamTable
    ) -> Iterator[UpstreamFact]:
        for upstream_id, incarnation in self._stopped_incarnations.pop(stop).items():
            upstream = table.get(upstream_id)
            if upstream is None or any(_covers(other, upstream) for other in stops):
                continue
            # A deadline is set by a reclaim notice, which an operator cannot cancel.
            still_stopped = upstream.state == "leaving" and not upstream.leaving_deadline_s
            if still_stopped and upstream.incarnation == incarnation:
                yield with_state(upstream, "serving", newer=True)


def _covers(stop: Stop, upstream: Upstream) -> bool:
    return stop.covers_upstream(upstream.upstream_id, upstream.availability_zone)
