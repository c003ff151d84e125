"""Random choice of drills: the store comes back from older copies while other faults happen.

Drills have a random source of their own, so that they change nothing about the other faults of a
seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from godwitpath_standin.soak.faults import (
    AnyFault,
    CloudOutage,
    CutStore,
    DelayCloudCalls,
    DelayStoreWrites,
    DrainEngine,
    KillDaemons,
    LoseStoreResponses,
    MoveRoute,
    PauseDaemon,
    ReplaceKey,
    RestoreStore,
    StopDaemons,
)
from godwitpath_standin.soak.proxy import Way

MEAN_DRILL_GAP_S = 7.0
"""Mean time from the last restore of a drill to the first one of the next."""

MAX_FIRST_DRILL_S = 8.0
"""Latest start of the first drill."""

COMPANION_SPAN_S = 3.0
"""Time before and after the first restore of a drill in which its other faults begin."""

TimedFault = tuple[float, AnyFault]
"""A fault, and the time from the start of the faults at which it begins."""


def draw_drills(
    rng: random.Random, daemons: list[str], positions: int, duration_s: float
) -> list[TimedFault]:
    """Return the faults of all drills of a soak in the order in which they begin.

    :param daemons: names of the daemons
    :param positions: number of engine positions in the deployment
    :param duration_s: time during which faults begin
    """
    faults: list[TimedFault] = []
    at_s = rng.uniform(1.0, min(duration_s, MAX_FIRST_DRILL_S))
    while at_s < duration_s:
        drill = list(_draw_drill(rng, daemons, positions, at_s))
        faults.extend(drill)
        last_restore_at_s, _ = drill[-1]
        at_s = last_restore_at_s + rng.expovariate(1 / MEAN_DRILL_GAP_S)
    return sorted(faults, key=lambda fault: fault[0])


def _draw_drill(
    rng: random.Random, daemons: list[str], positions: int, at_s: float
) -> Iterator[TimedFault]:
    for _ in range(rng.choice([0, 1, 1, 2, 3])):
        companion_at_s = at_s + rng.uniform(-COMPANION_SPAN_S, COMPANION_SPAN_S)
        yield max(0.0, companion_at_s), _draw_companion(rng, daemons, positions)
    for _ in range(rng.choice([1, 1, 1, 2, 3])):
        restore = RestoreStore(
            age_s=rng.uniform(2.0, 11.0),
            away_s=rng.uniform(0.2, 2.5),
            silent=rng.random() < 0.3,
            rewrite_s=rng.uniform(0.2, 1.0),
        )
        yield at_s, restore
        at_s += restore.away_s + rng.uniform(0.2, 3.0)


def _draw_companion(rng: random.Random, daemons: list[str], positions: int) -> AnyFault:
    name = rng.choice(daemons)
    delays_s = tuple(rng.uniform(0.5, 5.0) for _ in range(rng.randint(1, 4)))
    choices: list[Callable[[], AnyFault]] = [
        lambda: KillDaemons(tuple(daemons)),
        lambda: KillDaemons((name,)),
        lambda: PauseDaemon(name, rng.uniform(0.5, 6.0)),
        lambda: StopDaemons(tuple(daemons), rng.choice([0.5, 3.0])),
        lambda: CutStore(name, (rng.choice([Way.UP, Way.DOWN]),), rng.uniform(0.5, 6.0)),
        lambda: LoseStoreResponses(len(delays_s)),
        lambda: DelayStoreWrites(delays_s),
        lambda: DelayCloudCalls(delays_s),
        lambda: CloudOutage(len(delays_s), 0.0),
        lambda: MoveRoute(rng.choice(["read", "book"]), rng.choice(["desk", "annexe"])),
        lambda: ReplaceKey(rng.choice(["hule", "fida"])),
        lambda: DrainEngine(rng.randrange(positions)),
    ]
    return rng.choice(choices)()
