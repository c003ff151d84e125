"""Table of the upstreams that this entry knows."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from transitions import Machine

from godwitpath.listeners import Listeners
from godwitpath.ports.engine import Address
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.merge import UpstreamState, supersedes

_STATES: list[UpstreamState] = ["serving", "leaving", "gone"]
_TRANSITIONS: list[Any] = [
    {"trigger": "leave", "source": "serving", "dest": "leaving"},
    {"trigger": "go", "source": ["serving", "leaving"], "dest": "gone"},
]


@dataclass(slots=True)
class Upstream:
    """A model engine or plain service.

    :ivar upstream_id: name of the instance
    :ivar service: name of the service that the upstream provides
    :ivar incarnation: the higher incarnation wins, see :mod:`godwitpath.upstreams.merge`
    :ivar state: `serving`, `leaving` (accepts no new work) or `gone`
    :ivar leaving_deadline_s: time of termination on the loop's clock in seconds, 0 if unknown
    """

    upstream_id: str
    service: str
    region: str
    availability_zone: str
    address: Address
    reclaimable: bool = False
    machine_class: str = ""
    price_per_h: float = 0.0
    incarnation: int = 0
    state: UpstreamState = "serving"
    leaving_deadline_s: float = 0.0


_machine = Machine(
    model=None, states=_STATES, transitions=_TRANSITIONS, initial="serving", auto_transitions=False
)
"""State machine of an incarnation; a newer incarnation is a new object in any initial state."""

_TRIGGERS: dict[UpstreamState, str] = {"leaving": "leave", "gone": "go"}

UpstreamCallback = Callable[[Upstream], None]


class UpstreamTable:
    """Holds every known upstream by name.

    :ivar counts: number of changes by new state, and of facts that changed nothing
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._upstreams: dict[str, Upstream] = {}
        self._listeners: Listeners[[Upstream]] = Listeners(self.counts)

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its name, None if it is unknown."""
        return self._upstreams.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Return every upstream."""
        return list(self._upstreams.values())

    def serving(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new work."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and upstream.state == "serving"
        ]

    def on_change(self, callback: UpstreamCallback) -> None:
        """Register a callback for new and changed upstreams."""
        self._listeners.add(callback)

    def apply(self, fact: UpstreamFact) -> bool:
        """Apply a fact.

        :returns: whether the table changed
        """
        known = self._upstreams.get(fact.upstream_id)
        if known is None:
            changed = _new_upstream(fact)
            self._upstreams[fact.upstream_id] = changed
        elif supersedes(fact.incarnation, fact.state, known.incarnation, known.state):
            changed = self._change(known, fact)
        elif _adds_deadline(fact, known):
            known.leaving_deadline_s = _deadline_s(fact)
            changed = known
        else:
            self.counts["known_or_older_facts"] += 1
            return False
        self.counts[f"now_{changed.state}"] += 1
        self._listeners.notify(changed)
        return True

    def forget(self, upstream_id: str) -> None:
        """Remove an upstream if it is gone."""
        known = self._upstreams.get(upstream_id)
        if known is not None and known.state == "gone":
            del self._upstreams[upstream_id]

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        now_s = asyncio.get_running_loop().time()
        return {
            "upstreams": [
                {
                    "upstream_id": upstream.upstream_id,
                    "service": upstream.service,
                    "region": upstream.region,
                    "availability_zone": upstream.availability_zone,
                    "address": str(upstream.address),
                    "incarnation": upstream.incarnation,
                    "state": upstream.state,
                    "leaving_in_s": _remaining_s(upstream, now_s),
                }
                for upstream in self._upstreams.values()
            ],
            "counts": dict(self.counts),
        }

    def _change(self, known: Upstream, fact: UpstreamFact) -> Upstream:
        if fact.incarnation > known.incarnation:
            changed = _new_upstream(fact)
            self._upstreams[fact.upstream_id] = changed
            return changed
        _machine.events[_TRIGGERS[fact.state]].trigger(known)
        known.leaving_deadline_s = _deadline_s(fact)
        return known


def fact_from_upstream(upstream: Upstream) -> UpstreamFact:
    """Return a fact with the current state of an upstream."""
    return UpstreamFact(
        upstream_id=upstream.upstream_id,
        service=upstream.service,
        region=upstream.region,
        availability_zone=upstream.availability_zone,
        host=upstream.address.host,
        port=upstream.address.port,
        reclaimable=upstream.reclaimable,
        machine_class=upstream.machine_class,
        price_per_h=upstream.price_per_h,
        incarnation=upstream.incarnation,
        state=upstream.state,
        leaving_in_s=_remaining_s(upstream, asyncio.get_running_loop().time()),
    )


def with_state(
    upstream: Upstream, state: UpstreamState, leaving_in_s: float = 0.0, newer: bool = False
) -> UpstreamFact:
    """Return a fact about an upstream with another state.

    :param leaving_in_s: time left until the upstream terminates, 0 if unknown
    :param newer: whether the fact is for the next incarnation instead of the current one
    """
    incarnation = upstream.incarnation + newer
    fact = fact_from_upstream(upstream)
    return msgspec.structs.replace(
        fact, state=state, leaving_in_s=leaving_in_s, incarnation=incarnation
    )


def _new_upstream(fact: UpstreamFact) -> Upstream:
    return Upstream(
        upstream_id=fact.upstream_id,
        service=fact.service,
        region=fact.region,
        availability_zone=fact.availability_zone,
        address=fact.address,
        reclaimable=fact.reclaimable,
        machine_class=fact.machine_class,
        price_per_h=fact.price_per_h,
        incarnation=fact.incarnation,
        state=fact.state,
        leaving_deadline_s=_deadline_s(fact),
    )


def _adds_deadline(fact: UpstreamFact, known: Upstream) -> bool:
    """Return whether a fact only adds the deadline of a leaving upstream."""
    same_state = fact.incarnation == known.incarnation and fact.state == known.state == "leaving"
    return same_state and fact.leaving_in_s > 0 and not known.leaving_deadline_s


def _deadline_s(fact: UpstreamFact) -> float:
    if fact.leaving_in_s <= 0:
        return 0.0
    return asyncio.get_running_loop().time() + fact.leaving_in_s


def _remaining_s(upstream: Upstream, now_s: float) -> float:
    if not upstream.leaving_deadline_s:
        return 0.0
    return round(max(0.0, upstream.leaving_deadline_s - now_s), 3)
