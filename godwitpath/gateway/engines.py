"""The engines that are known, and the work that lies at each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from godwitpath.ports.engine import Address
from godwitpath.routing.outliers import OutlierState, ejected

SPEED_WEIGHT = 0.1
"""Weight of a new measurement in an engine's pace: about ten requests are remembered."""


class EngineState(StrEnum):
    """What an engine says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """An engine as its entry in the store names it.

    :ivar slots: requests that it processes at once
    :ivar started_at_ms: Unix millisecond of its start; tells apart starts under one id
    :ivar reclaimable: whether it may be taken away at short notice
    :ivar cold_s: how much longer it stays slow after its start
    :ivar leaves_in_s: time until it is gone, None when not said
    """

    engine_id: str
    service: str
    address: Address
    zone: str
    state: EngineState
    slots: int = 0
    started_at_ms: int = 0
    reclaimable: bool = False
    cold_s: float = 0.0
    leaves_in_s: float | None = None


@dataclass(slots=True)
class PeerLoad:
    """Work that another daemon has at an engine."""

    running: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class Engine:
    """An engine with what this daemon knows of it.

    :ivar running: own requests that were sent and have not ended
    :ivar prompt_tokens: prompt tokens of own requests that have not begun to run
    :ivar context_tokens: tokens that own running requests hold
    :ivar peers: the same of other daemons, by daemon
    :ivar pace: measured time against the expected time, 1 as expected
    """

    entry: EngineEntry
    running: int = 0
    prompt_tokens: int = 0
    context_tokens: int = 0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    health: OutlierState = field(default_factory=OutlierState)
    pace: float = 1.0
    full_until_s: float = 0.0

    @property
    def all_running(self) -> int:
        """Requests of all daemons that are known to lie here."""
        return self.running + sum(load.running for load in self.peers.values())

    @property
    def all_prompt_tokens(self) -> int:
        """Prompt tokens of all daemons that wait or are being read here."""
        return self.prompt_tokens + sum(load.prompt_tokens for load in self.peers.values())

    def measured(self, took_s: float, expected_s: float) -> None:
        """Learn from a request that took a time where another was expected."""
        if expected_s > 0.0:
            ratio = min(8.0, max(0.1, took_s / expected_s))
            self.pace += SPEED_WEIGHT * (ratio - self.pace)


class EngineBook:
    """Every engine that the store names, by id."""

    def __init__(self) -> None:
        self._engines: dict[str, Engine] = {}

    def put(self, entry: EngineEntry) -> bool:
        """Take in an engine's entry; returns whether it says something new."""
        known = self._engines.get(entry.engine_id)
        if known is not None and known.entry == entry:
            return False
        same_start = (
            known is not None
            and known.entry.started_at_ms == entry.started_at_ms
            and known.entry.address == entry.address
        )
        if known is not None and same_start:
            known.entry = entry
        else:
            self._engines[entry.engine_id] = Engine(entry)
        return True

    def remove(self, engine_id: str) -> Engine | None:
        """Forget an engine; returns what was known of it."""
        return self._engines.pop(engine_id, None)

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine."""
        return self._engines.get(engine_id)

    def all(self) -> Iterable[Engine]:
        """Return every engine."""
        return self._engines.values()

    def usable(self, service: str, now_s: float) -> list[Engine]:
        """Return the engines of a service that take new requests."""
        ready = [
            engine
            for engine in self._engines.values()
            if engine.entry.service == service and engine.entry.state is EngineState.READY
        ]
        out = ejected({engine.entry.engine_id: engine.health for engine in ready}, now_s)
        return [engine for engine in ready if engine.entry.engine_id not in out]

    def drop_peer(self, peer: str) -> None:
        """Forget the work of another daemon."""
        for engine in self._engines.values():
            engine.peers.pop(peer, None)
