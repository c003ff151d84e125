"""The known engines and the load of each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from godwitpath.ports.engine import Address
from godwitpath.routing.outliers import OutlierState, ejected

SLOWDOWN_WEIGHT = 0.1
"""Weight of a new measurement in an engine's slowdown: an average over about ten requests."""


class EngineState(StrEnum):
    """State that an engine reports for itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """An engine's entry in the store.

    :ivar slots: number of requests that it processes concurrently
    :ivar started_at_ms: start time in Unix milliseconds; distinguishes incarnations with one id
    :ivar reclaimable: whether the platform may reclaim it at short notice
    :ivar warmup_left_s: remaining time for which it is slow after its start
    :ivar leaves_in_s: time until it is removed, None if not stated
    """

    engine_id: str
    service: str
    address: Address
    zone: str
    state: EngineState
    slots: int = 0
    started_at_ms: int = 0
    reclaimable: bool = False
    warmup_left_s: float = 0.0
    leaves_in_s: float | None = None


@dataclass(slots=True)
class PeerLoad:
    """Load that another daemon has at an engine."""

    running: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class Engine:
    """An engine with its load, health and speed as known to this daemon.

    :ivar running: this daemon's requests that were sent and have not ended
    :ivar prompt_tokens: prompt tokens of this daemon's requests that wait for their prefill to end
    :ivar context_tokens: prompt tokens of this daemon's requests that have not ended
    :ivar peers: load from other daemons, by daemon
    :ivar slowdown: average ratio of measured to expected time, 1 for nominal speed
    :ivar full_until_s: loop time until which other engines are tried first after a refusal
    """

    entry: EngineEntry
    running: int = 0
    prompt_tokens: int = 0
    context_tokens: int = 0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    health: OutlierState = field(default_factory=OutlierState)
    slowdown: float = 1.0
    full_until_s: float = 0.0

    @property
    def all_running(self) -> int:
        """Known running requests of all daemons."""
        return self.running + sum(load.running for load in self.peers.values())

    @property
    def all_prompt_tokens(self) -> int:
        """Known prompt tokens of all daemons that wait for prefill or are in prefill."""
        return self.prompt_tokens + sum(load.prompt_tokens for load in self.peers.values())

    def record_duration(self, took_s: float, expected_s: float) -> None:
        """Update the slowdown with the measured and the expected time of a request."""
        if expected_s > 0.0:
            ratio = min(8.0, max(0.1, took_s / expected_s))
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)


class EngineRegistry:
    """All engines with an entry in the store, by id."""

    def __init__(self) -> None:
        self._engines: dict[str, Engine] = {}

    def put(self, entry: EngineEntry) -> bool:
        """Add or update an engine's entry.

        :returns: whether the entry has changed
        """
        known = self._engines.get(entry.engine_id)
        if known is not None and known.entry == entry:
            return False
        same_incarnation = (
            known is not None
            and known.entry.started_at_ms == entry.started_at_ms
            and known.entry.address == entry.address
        )
        if known is not None and same_incarnation:
            known.entry = entry
        else:
            self._engines[entry.engine_id] = Engine(entry)
        return True

    def remove(self, engine_id: str) -> Engine | None:
        """Remove an engine and return it, or None if it was unknown."""
        return self._engines.pop(engine_id, None)

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine, or None if it is unknown."""
        return self._engines.get(engine_id)

    def all(self) -> Iterable[Engine]:
        """Return all engines."""
        return self._engines.values()

    def usable(self, service: str, now_s: float) -> list[Engine]:
        """Return the ready engines of a service that are not ejected as outliers."""
        ready = [
            engine
            for engine in self._engines.values()
            if engine.entry.service == service and engine.entry.state is EngineState.READY
        ]
        ejected_ids = ejected({engine.entry.engine_id: engine.health for engine in ready}, now_s)
        return [engine for engine in ready if engine.entry.engine_id not in ejected_ids]

    def drop_peer(self, peer: str) -> None:
        """Remove the load of another daemon."""
        for engine in self._engines.values():
            engine.peers.pop(peer, None)
