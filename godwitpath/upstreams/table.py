"""The upstreams as this entry knows them."""

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

    :ivar upstream_id: name of its instance
    :ivar service: service that it serves
    :ivar incarnation: higher beats lower, see :mod:`godwitpath.upstreams.merge`
    :ivar state: `serving`, `leaving` (no new work) or `gone`
    :ivar leaving_deadline: when it goes, on the loop's clock; 0 when not known
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
    leaving_deadline: float = 0.0


_machine = Machine(
    model=None, states=_STATES, transitions=_TRANSITIONS, initial="serving", auto_transitions=False
)
"""The states of every upstream; a newer incarnation is a new object that starts anywhere."""

_TRIGGERS: dict[UpstreamState, str] = {"leaving": "leave", "gone": "go"}

Callback = Callable[[Upstream], None]


class UpstreamTable:
    """Every known upstream by name.

    :ivar counts: events by name
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._upstreams: dict[str, Upstream] = {}
        self._listeners: Listeners[[Upstream]] = Listeners(self.counts)

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its name."""
        return self._upstreams.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Return every upstream."""
        return list(self._upstreams.values())

    def serving(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and upstream.state == "serving"
        ]

    def on_change(self, callback: Callback) -> None:
        """Call back with each upstream that is new or changed."""
        self._listeners.add(callback)

    def apply(self, fact: UpstreamFact) -> bool:
        """Take in a fact; returns whether it was news."""
        known = self._upstreams.get(fact.upstream_id)
        if known is None:
            changed = _new_upstream(fact)
            self._upstreams[fact.upstream_id] = changed
        elif supersedes(fact.incarnation, fact.state, known.incarnation, known.state):
            changed = self._change(known, fact)
        elif _tells_deadline(fact, known):
            known.leaving_deadline = _deadline(fact)
            changed = known
        else:
            self.counts["known_or_older_facts"] += 1
            return False
        self.counts[f"now_{changed.state}"] += 1
        self._listeners.notify(changed)
        return True

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        known = self._upstreams.get(upstream_id)
        if known is not None and known.state == "gone":
            del self._upstreams[upstream_id]

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
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
                    "leaving_in_s": _left_s(upstream, now_s),
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
        known.leaving_deadline = _deadline(fact)
        return known


def fact_of(upstream: Upstream) -> UpstreamFact:
    """Return the fact that tells of an upstream."""
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
        leaving_in_s=_left_s(upstream, asyncio.get_running_loop().time()),
    )


def with_state(
    upstream: Upstream, state: UpstreamState, leaving_in_s: float = 0.0, newer: bool = False
) -> UpstreamFact:
    """Return the fact that an upstream has a state, in its incarnation or the next."""
    incarnation = upstream.incarnation + newer
    fact = fact_of(upstream)
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
        leaving_deadline=_deadline(fact),
    )


def _tells_deadline(fact: UpstreamFact, known: Upstream) -> bool:
    """Return whether a fact only adds when a leaving upstream goes."""
    same = fact.incarnation == known.incarnation and fact.state == known.state == "leaving"
    return same and fact.leaving_in_s > 0 and not known.leaving_deadline


def _deadline(fact: UpstreamFact) -> float:
    if fact.leaving_in_s <= 0:
        return 0.0
    return asyncio.get_running_loop().time() + fact.leaving_in_s


def _left_s(upstream: Upstream, now_s: float) -> float:
    if not upstream.leaving_deadline:
        return 0.0
    return round(max(0.0, upstream.leaving_deadline - now_s), 3)
