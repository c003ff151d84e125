"""Faults that a soak injects, and their random choice."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath_standin.gateway.endless import EndlessKind
from godwitpath_standin.gateway.engine import Fault
from godwitpath_standin.soak.junk import JunkKind
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


LIMITS = ("0", "0.5", "1", "3", "10", "few", "-1")
"""Values of an engine's limit, also unreadable ones."""


@dataclass(slots=True, frozen=True)
class KillDaemons:
    """Kills the processes of some daemons at the same moment."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PauseDaemon:
    """Suspends the process of a daemon for a while."""

    name: str
    for_s: float


@dataclass(slots=True, frozen=True)
class StopDaemons:
    """Sends some daemons the stop signal, one every `gap_s` seconds."""

    names: tuple[str, ...]
    gap_s: float


@dataclass(slots=True, frozen=True)
class SignalReload:
    """Signals some daemons to reload their settings."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class CutStore:
    """Blocks the link between a daemon and the store, in one direction or both."""

    name: str
    ways: tuple[Way, ...]
    for_s: float


@dataclass(slots=True, frozen=True)
class ResetLinks:
    """Resets the open connections between a daemon and the platform."""

    name: str


@dataclass(slots=True, frozen=True)
class StoreOutage:
    """The store refuses calls, or reads them without a response.

    :ivar refuse_with: HTTP status of the refusals, 0 for no response
    """

    refuse_with: int
    for_s: float


@dataclass(slots=True, frozen=True)
class SlowStore:
    """Delays the traffic between the daemons and the store."""

    delay_s: float
    for_s: float


@dataclass(slots=True, frozen=True)
class LoseStoreResponses:
    """The store applies the next writes, and their responses are lost."""

    count: int


@dataclass(slots=True, frozen=True)
class DelayStoreWrites:
    """The next writes to the store get no response and take effect later.

    :ivar delays_s: time from each write to its effect
    """

    delays_s: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class RestoreStore:
    """The store is away for a while and comes back from an older copy.

    The operator and the engines write their entries again after a delay.

    :ivar age_s: age of the copy when the store goes away
    :ivar away_s: time for which the store is away
    :ivar silent: whether calls get no response meanwhile, otherwise connections are reset
    :ivar rewrite_s: time from the return of the store until entries are written again
    """

    age_s: float
    away_s: float
    silent: bool
    rewrite_s: float


@dataclass(slots=True, frozen=True)
class DropHistory:
    """The store drops the history from which watches resume."""


@dataclass(slots=True, frozen=True)
class CloudOutage:
    """The cloud API refuses calls for a while, or loses the next responses.

    :ivar responses_to_lose: number of next responses to lose, 0 to refuse calls
    """

    responses_to_lose: int
    for_s: float


@dataclass(slots=True, frozen=True)
class DelayCloudCalls:
    """The next calls to the cloud API get no response and are carried out later.

    :ivar delays_s: time from each call to its execution
    """

    delays_s: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CrashEngine:
    """Crashes an engine and starts another one at its position.

    :ivar position: index of the engine's position in the deployment
    :ivar down_s: time between the removal of its store entry and the start of the other one
    """

    position: int
    down_s: float


@dataclass(slots=True, frozen=True)
class DrainEngine:
    """Announces that an engine leaves, lets it serve for a while and replaces it.

    :ivar position: index of the engine's position in the deployment
    """

    position: int


@dataclass(slots=True, frozen=True)
class FailRequests:
    """Makes an engine fail its next requests.

    :ivar position: index of the engine's position in the deployment
    """

    position: int
    fault: Fault
    count: int


@dataclass(slots=True, frozen=True)
class LimitEngine:
    """Makes an engine state limits on its requests, one after the other, and then none.

    :ivar position: index of the engine's position in the deployment
    :ivar limits: values of the header `Server-Limit`
    :ivar for_s: time for which the engine states each limit
    """

    position: int
    limits: tuple[str, ...]
    for_s: float


@dataclass(slots=True, frozen=True)
class CutEngine:
    """Blocks the link of an engine in one direction or both, or delays it.

    A fault of more than 3 s ends with a reset of the connections.

    :ivar position: index of the engine's position in the deployment
    :ivar delay_s: delay of each chunk, 0 to block the link
    """

    position: int
    ways: tuple[Way, ...]
    delay_s: float
    for_s: float


@dataclass(slots=True, frozen=True)
class EndlessEngine:
    """Makes an engine answer the requests of a while by sending until their connections are closed.

    :ivar position: index of the engine's position in the deployment
    :ivar for_s: time for which requests that arrive are answered so
    """

    position: int
    kind: EndlessKind
    for_s: float


@dataclass(slots=True, frozen=True)
class JunkCallers:
    """Callers without a key send junk without end to a daemon for a while."""

    name: str
    kind: JunkKind
    for_s: float


@dataclass(slots=True, frozen=True)
class MoveRoute:
    """The operator changes the service of a route."""

    route: str
    service: str


@dataclass(slots=True, frozen=True)
class ReplaceKey:
    """The operator replaces the API key of an account."""

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
    | LoseStoreResponses
    | DelayStoreWrites
    | RestoreStore
    | DropHistory
    | CloudOutage
    | DelayCloudCalls
    | CrashEngine
    | DrainEngine
    | FailRequests
    | LimitEngine
    | CutEngine
    | EndlessEngine
    | JunkCallers
    | MoveRoute
    | ReplaceKey
)


ENDING_FAULTS = (KillDaemons, StopDaemons)
"""Faults that end processes of daemons."""


def draw_fault(rng: random.Random, daemons: list[str], positions: int) -> AnyFault:
    """Return a random fault.

    :param daemons: names of the daemons
    :param positions: number of engine positions in the deployment
    """
    name = rng.choice(daemons)
    names = tuple(rng.sample(daemons, rng.randint(1, len(daemons))))
    ways = rng.choice([(Way.UP,), (Way.DOWN,), (Way.UP, Way.DOWN)])
    position = rng.randrange(positions)
    for_s = rng.uniform(0.5, 6.0)
    choices: list[Callable[[], AnyFault]] = [
        lambda: KillDaemons(names if rng.random() < 0.3 else (name,)),
        lambda: PauseDaemon(name, for_s),
        lambda: StopDaemons(names, rng.choice([0.0, 0.5, 3.0])),
        lambda: StopDaemons((name,), 0.0),
        lambda: SignalReload(names),
        lambda: CutStore(name, ways, for_s),
        lambda: ResetLinks(name),
        lambda: StoreOutage(rng.choice([0, 429, 503]), for_s),
        lambda: SlowStore(rng.uniform(0.05, 0.5), for_s),
        lambda: LoseStoreResponses(rng.randint(1, 4)),
        lambda: DropHistory(),
        lambda: CloudOutage(rng.randint(0, 3), for_s),
        lambda: CrashEngine(position, for_s),
        lambda: DrainEngine(position),
        lambda: FailRequests(position, rng.choice(ENGINE_FAULTS), rng.randint(1, 6)),
        lambda: LimitEngine(position, tuple(rng.sample(LIMITS, rng.randint(1, 3))), 2.0 + for_s),
        lambda: CutEngine(position, ways, rng.choice([0.0, 0.0, 0.3]), for_s),
        lambda: MoveRoute(rng.choice(["read", "book"]), rng.choice(["desk", "annexe"])),
        lambda: ReplaceKey(rng.choice(["hule", "fida"])),
    ]
    return rng.choice(choices)()
