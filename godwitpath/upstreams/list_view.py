"""Derives facts about upstreams from polls of the platform's instance list.

The list lags behind, and consecutive polls may be served by replicas with different lags.
Therefore a listed `live` never reverts a leaving upstream, a missing instance is marked as gone
only after a delay, and a gone upstream serves again only after the list first omitted it for that
delay and then contained it in several polls in a row.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from godwitpath.ports.platform import Instance
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.merge import UpstreamState
from godwitpath.upstreams.table import Upstream, UpstreamTable, with_state

ENTRY_PURPOSE = "entry"
"""Purpose, in the list, of the instances that run entry daemons."""

GONE_AFTER_ABSENT_S = 30.0
"""Absence from the list after which a previously listed upstream is marked as gone."""

GONE_AFTER_UNLISTED_S = 180.0
"""Absence from the list after which a never listed upstream is marked as gone."""

GONE_AFTER_DEADLINE_S = 10.0
"""Time after its deadline at which a leaving upstream is marked as gone."""

MIN_POLLS_TO_RETURN = 3
"""Polls in a row that must list a gone upstream as live before it serves again."""


@dataclass(slots=True)
class _Listing:
    """What the polls of the instance list have shown of one upstream.

    :ivar ever_listed: whether any poll contained the upstream
    :ivar absent_since_s: time of the first of the latest polls in a row without the upstream, 0 if
        the last poll contained it
    :ivar confirmed_absent: whether the upstream was absent for long enough to be marked as gone
    :ivar live_polls: number of latest polls in a row that listed the upstream as live
    """

    ever_listed: bool = False
    absent_since_s: float = 0.0
    confirmed_absent: bool = False
    live_polls: int = 0


class InstanceListView:
    """Converts polls of the list into facts."""

    def __init__(self) -> None:
        self._listings: dict[str, _Listing] = {}

    def observe(
        self, instances: Iterable[Instance], table: UpstreamTable, now_s: float
    ) -> list[UpstreamFact]:
        """Return the new facts from a poll; the caller applies them to the table.

        :param now_s: time of the poll on the loop's clock
        """
        listed_by_id = {i.instance_id: i for i in instances if i.purpose != ENTRY_PURPOSE}
        facts = [fact for i in listed_by_id.values() for fact in self._facts_from_listed(i, table)]
        # A list without upstreams is treated as a fault of the list.
        if listed_by_id:
            missing_upstreams = (u for u in table.all() if u.upstream_id not in listed_by_id)
            facts.extend(
                fact for u in missing_upstreams for fact in self._facts_from_missing(u, now_s)
            )
        facts.extend(_facts_from_overdue(table, now_s))
        self._remove_unknown(table, listed_by_id)
        return facts

    def _facts_from_listed(
        self, instance: Instance, table: UpstreamTable
    ) -> Iterator[UpstreamFact]:
        listing = self._listings.setdefault(instance.instance_id, _Listing())
        listing.ever_listed = True
        listing.absent_since_s = 0.0
        state: UpstreamState = "leaving" if instance.state == "leaving" else "serving"
        listing.live_polls = listing.live_polls + 1 if state == "serving" else 0
        known = table.get(instance.instance_id)
        if known is None:
            yield instance_fact(instance, 0, state)
        elif state == "leaving" and known.state == "serving":
            yield instance_fact(instance, known.incarnation, state)
        elif (
            known.state == "gone"
            and listing.confirmed_absent
            and listing.live_polls >= MIN_POLLS_TO_RETURN
        ):
            listing.confirmed_absent = False
            yield instance_fact(instance, known.incarnation + 1, "serving")

    def _facts_from_missing(self, upstream: Upstream, now_s: float) -> Iterator[UpstreamFact]:
        listing = self._listings.setdefault(upstream.upstream_id, _Listing())
        listing.live_polls = 0
        if not listing.absent_since_s:
            listing.absent_since_s = now_s
        timeout_s = GONE_AFTER_ABSENT_S if listing.ever_listed else GONE_AFTER_UNLISTED_S
        if now_s - listing.absent_since_s < timeout_s:
            return
        listing.confirmed_absent = True
        if upstream.state != "gone":
            yield with_state(upstream, "gone")

    def _remove_unknown(self, table: UpstreamTable, listed_by_id: dict[str, Instance]) -> None:
        for upstream_id in list(self._listings):
            if upstream_id not in listed_by_id and table.get(upstream_id) is None:
                del self._listings[upstream_id]


def instance_fact(instance: Instance, incarnation: int, state: UpstreamState) -> UpstreamFact:
    """Return a fact about an instance with the attributes from the platform."""
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


def _facts_from_overdue(table: UpstreamTable, now_s: float) -> Iterator[UpstreamFact]:
    for upstream in table.all():
        deadline_s = upstream.leaving_deadline_s
        is_overdue = deadline_s and deadline_s + GONE_AFTER_DEADLINE_S <= now_s
        if upstream.state == "leaving" and is_overdue:
            yield with_state(upstream, "gone")
