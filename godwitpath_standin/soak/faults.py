"""What may go wrong in a soak, and how it is drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath_standin.gateway.engine import Fault
from godwitpath_standin.soak.proxy import Way

ENGINE_FAULTS = (
    Fault.SHED,
    Fault.ERROR,
    Fault.HANG,
    Fault.RESET,
    Fault.RESET_MID_STREAM,
    Fault.SECOND_ANSWER,
    Fault.SHORT_BODY,
)


@dataclass(slots=True, frozen=True)
class KillDaemons:
    """Processes are killed at the same moment."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PauseDaemon:
    """A process stands still for a while."""

    name: str
    for_s: float


@dataclass(slots=True, frozen=True)
class StopDaemons:
    """Processes are told to stop, one after the other."""

    names: tuple[str, ...]
    gap_s: float


@dataclass(slots=True, frozen=True)
class SignalReload:
    """Processes are told that their settings have changed."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class CutStore:
    """A daemon's link to the store lets nothing pass, in one direction or both."""

    name: str
    ways: tuple[Way, ...]
    for_s: float


@dataclass(slots=True, frozen=True)
class ResetLinks:
    """Open connections of a daemon to the platform are reset."""

    name: str


@dataclass(slots=True, frozen=True)
class StoreOutage:
    """The store refuses calls, or reads them and answers nothing."""

    refuse_with: int
    for_s: float


@dataclass(slots=True, frozen=True)
class SlowStore:
    """The store answers late."""

    delay_s: float
    for_s: float


@dataclass(slots=True, frozen=True)
class LoseStoreAnswers:
    """Writes are done, and their answers are lost."""

    count: int


@dataclass(slots=True, frozen=True)
class ForgetHistory:
    """The store drops the history that watches go on from."""


@dataclass(slots=True, frozen=True)
class CloudOutage:
    """The cloud API refuses calls, or loses answers."""

    lost: int
    for_s: float


@dataclass(slots=True, frozen=True)
class CrashEngine:
    """An engine is gone at once; another one comes in its place."""

    seat: int
    down_s: float


@dataclass(slots=True, frozen=True)
class DrainEngine:
    """An engine says that it leaves, serves on for a while, and is replaced."""

    seat: int


@dataclass(slots=True, frozen=True)
class FailRequests:
    """An engine fails its next requests."""

    seat: int
    fault: Fault
    count: int


@dataclass(slots=True, frozen=True)
class CutEngine:
    """An engine's link lets nothing pass, in one direction or both, or is late, or is reset."""

    seat: int
    ways: tuple[Way, ...]
    delay_s: float
    for_s: float


@dataclass(slots=True, frozen=True)
class MoveRoute:
    """The operator sends a route to another service."""

    route: str
    service: str


@dataclass(slots=True, frozen=True)
class ReplaceKey:
    """The operator takes a key away and gives its account another."""

    account: str


AnyFault = (
    KillDaemons
    | PauseDaemon
    | StopDaemons
    | SignalReload
    | CutStore
    | ResetLinks
    | StoreOutage
    | SlowStore
    | LoseStoreAnswers
    | ForgetHistory
    | CloudOutage
    | CrashEngine
    | DrainEngine
    | FailRequests
    | CutEngine
    | MoveRoute
    | ReplaceKey
)


def draw_fault(rng: random.Random, daemons: list[str], seats: int) -> AnyFault:
    """Return a fault."""
    name = rng.choice(daemons)
    some = tuple(rng.sample(daemons, rng.randint(1, len(daemons))))
    ways = rng.choice([(Way.UP,), (Way.DOWN,), (Way.UP, Way.DOWN)])
    seat = rng.randrange(seats)
    for_s = rng.uniform(0.5, 6.0)
    choices: list[Callable[[], AnyFault]] = [
        lambda: KillDaemons(some if rng.random() < 0.3 else (name,)),
        lambda: PauseDaemon(name, for_s),
        lambda: StopDaemons(some, rng.choice([0.0, 0.5, 3.0])),
        lambda: StopDaemons((name,), 0.0),
        lambda: SignalReload(some),
        lambda: CutStore(name, ways, for_s),
        lambda: ResetLinks(name),
        lambda: StoreOutage(rng.choice([0, 429, 503]), for_s),
        lambda: SlowStore(rng.uniform(0.05, 0.5), for_s),
        lambda: LoseStoreAnswers(rng.randint(1, 4)),
        lambda: ForgetHistory(),
        lambda: CloudOutage(rng.randint(0, 3), for_s),
        lambda: CrashEngine(seat, for_s),
        lambda: DrainEngine(seat),
        lambda: FailRequests(seat, rng.choice(ENGINE_FAULTS), rng.randint(1, 6)),
        lambda: CutEngine(seat, ways, rng.choice([0.0, 0.0, 0.3]), for_s),
        lambda: MoveRoute(rng.choice(["read", "book"]), rng.choice(["desk", "annexe"])),
        lambda: ReplaceKey(rng.choice(["hule", "fida"])),
    ]
    return rng.choice(choices)()
