"""What the platform's lagging instance list says of the upstreams, poll by poll.

The list is late and may be answered from copies that lag differently. So a listed `live` never
turns a leaving upstream back, a missing instance is gone only after a while, and one that is gone
serves again only when the list itself first dropped it and then showed it in several polls.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from godwitpath.ports.platform import Instance
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.merge import UpstreamState
from godwitpath.upstreams.table import Upstream, UpstreamTable, with_state

ENTRY_PURPOSE = "entry"
"""Purpose of the system's own instances in the list."""

GONE_AFTER_ABSENT_S = 30.0
"""An upstream that the list has dropped for so long is gone."""

GONE_AFTER_UNLISTED_S = 180.0
"""An upstream that the list has never shown for so long is gone."""

GONE_AFTER_DEADLINE_S = 10.0
"""A leaving upstream is gone so long after its deadline."""

RETURN_POLLS = 3
"""Polls in a row that must show an upstream for it to be back."""


@dataclass(slots=True)
class _Listing:
    """What the polls showed of an upstream.

    :ivar absent_since_s: first of the polls in a row without it, 0 when the last one showed it
    :ivar dropped: whether the list dropped it for long enough to be believed
    :ivar shown: polls in a row that showed it as live
    """

    listed_once: bool = False
    absent_since_s: float = 0.0
    dropped: bool = False
    shown: int = 0


class InstanceListView:
    """Turns polls of the list into facts."""

    def __init__(self) -> None:
        self._listings: dict[str, _Listing] = {}

    def observe(
        self, instances: Iterable[Instance], table: UpstreamTable, now_s: float
    ) -> list[UpstreamFact]:
        """Return what a poll tells; the caller applies it."""
        listed = {i.instance_id: i for i in instances if i.purpose != ENTRY_PURPOSE}
        facts = [fact for i in listed.values() for fact in self._listed(i, table)]
        # A list without anything is taken for a fault of the list.
        if listed:
            missing = (u for u in table.all() if u.upstream_id not in listed)
            facts.extend(fact for u in missing for fact in self._missing(u, now_s))
        facts.extend(_overdue(table, now_s))
        self._forget(table, listed)
        return facts

    def _listed(self, instance: Instance, table: UpstreamTable) -> Iterator[UpstreamFact]:
        listing = self._listings.setdefault(instance.instance_id, _Listing())
        listing.listed_once = True
        listing.absent_since_s = 0.0
        state: UpstreamState = "leaving" if instance.state == "leaving" else "serving"
        listing.shown = listing.shown + 1 if state == "serving" else 0
        known = table.get(instance.instance_id)
        if known is None:
            yield instance_fact(instance, 0, state)
        elif state == "leaving" and known.state == "serving":
            yield instance_fact(instance, known.incarnation, state)
        elif known.state == "gone" and listing.dropped and listing.shown >= RETURN_POLLS:
            listing.dropped = False
            yield instance_fact(instance, known.incarnation + 1, "serving")

    def _missing(self, upstream: Upstream, now_s: float) -> Iterator[UpstreamFact]:
        listing = self._listings.setdefault(upstream.upstream_id, _Listing())
        listing.shown = 0
        if not listing.absent_since_s:
            listing.absent_since_s = now_s
        limit_s = GONE_AFTER_ABSENT_S if listing.listed_once else GONE_AFTER_UNLISTED_S
        if now_s - listing.absent_since_s < limit_s:
            return
        listing.dropped = True
        if upstream.state != "gone":
            yield with_state(upstream, "gone")

    def _forget(self, table: UpstreamTable, listed: dict[str, Instance]) -> None:
        for upstream_id in list(self._listings):
            if upstream_id not in listed and table.get(upstream_id) is None:
                del self._listings[upstream_id]


def instance_fact(instance: Instance, incarnation: int, state: UpstreamState) -> UpstreamFact:
    """Return the fact of an instance as the platform describes it."""
    return UpstreamFact(
        upstream_id=instance.instance_id,
        service=instance.purpose,
        region=instance.region,
        availability_zone=instance.availability_zone,
        host=instance.address.host,
        port=instance.address.port,
        reclaimable=instance.reclaimable,
        machine_class=instance.machine_class,
        price_per_h=instance.price_per_h,
        incarnation=incarnation,
        state=state,
    )


def _overdue(table: UpstreamTable, now_s: float) -> Iterator[UpstreamFact]:
    for upstream in table.all():
        deadline_s = upstream.leaving_deadline
        overdue = deadline_s and deadline_s + GONE_AFTER_DEADLINE_S <= now_s
        if upstream.state == "leaving" and overdue:
            yield with_state(upstream, "gone")
