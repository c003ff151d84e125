"""Random choice of floods: engines and callers that send without end.

Floods have a random source of their own, so that they change nothing about the other faults of a
seed.
"""

from __future__ import annotations

import random

from godwitpath_standin.gateway.endless import EndlessKind
from godwitpath_standin.soak.drills import TimedFault
from godwitpath_standin.soak.faults import EndlessEngine, JunkCallers
from godwitpath_standin.soak.junk import JunkKind

MEAN_FLOOD_GAP_S = 3.0
"""Mean time between the starts of two floods."""

MAX_FIRST_FLOOD_S = 4.0
"""Latest start of the first flood."""

ENGINES_SHARE = 0.6
"""Share of the floods that come from an engine."""


def draw_floods(
    rng: random.Random, daemons: list[str], positions: int, duration_s: float
) -> list[TimedFault]:
    """Return the floods of a soak in the order in which they begin.

    :param daemons: names of the daemons
    :param positions: number of engine positions in the deployment
    :param duration_s: time during which faults begin
    """
    floods: list[TimedFault] = []
    at_s = rng.uniform(0.5, min(duration_s, MAX_FIRST_FLOOD_S))
    while at_s < duration_s:
        for_s = rng.uniform(1.0, 2.0)
        if rng.random() < ENGINES_SHARE:
            kind = rng.choice(list(EndlessKind))
            floods.append((at_s, EndlessEngine(rng.randrange(positions), kind, for_s)))
        else:
            junk = rng.choice(list(JunkKind))
            floods.append((at_s, JunkCallers(rng.choice(daemons), junk, for_s)))
        at_s += rng.expovariate(1 / MEAN_FLOOD_GAP_S)
    return floods
