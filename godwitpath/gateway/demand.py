"""Estimates the load of a service in busy engines, and the engines that it needs."""

from __future__ import annotations

import math
from dataclasses import dataclass

from godwitpath.gateway.placement import PREFILL_TOKENS_PER_S

TARGET_UTILIZATION = 0.35
"""Target utilization while reclaimable engines are available: they cost a fraction of a late
response."""

MAX_UTILIZATION = 0.6
"""Maximum utilization after a reclaim: above it the time to the first token grows faster than the
load."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the average load, about the boot time of an engine. It is the same for rising
and falling load: a shorter one for rising load would overestimate uneven traffic."""

MIN_AVERAGING_S = 1.5
"""Minimum measuring time that the startup correction of the average assumes: a burst in the first
second is not representative."""

SCALE_DOWN_HYSTERESIS = 0.1
"""Hysteresis: share by which the load must fall below the limit of a smaller requirement before
that requirement applies."""

MIN_ENGINES = 2
"""Minimum number of planned engines: if one fails, another is left."""


@dataclass(slots=True, frozen=True)
class EngineRequirement:
    """Number of engines that a service needs.

    :ivar after_reclaim: engines that must be left when a zone loses its reclaimable engines
    :ivar target: engines at all other times, if enough reclaimable engines are available
    """

    after_reclaim: int
    target: int

    def raised_to(self, engines: int) -> EngineRequirement:
        """Return the requirement raised to that of a load that needs a number of engines.

        :param engines: minimum number of engines after a reclaim
        """
        target = math.ceil(engines * MAX_UTILIZATION / TARGET_UTILIZATION)
        return EngineRequirement(max(self.after_reclaim, engines), max(self.target, target))


class LoadEstimator:
    """Estimates the load of one service in busy engines.

    :param slots: concurrent streams that keep an engine busy: its batch size
    :ivar prefilled_tokens: prefilled tokens since the start, as last observed
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._average_load = 0.0
        self.prefilled_tokens: int | None = None
        self._observed_at_s = 0.0
        self._first_load_at_s: float | None = None
        self._requirement = EngineRequirement(MIN_ENGINES, MIN_ENGINES)

    def observe(self, prefilled_tokens: int, running: int, now_s: float) -> None:
        """Add a sample of the total load of all daemons.

        :param prefilled_tokens: prompt tokens sent to engines for prefill, a growing total
        :param running: running streams
        """
        if self.prefilled_tokens is None or prefilled_tokens < self.prefilled_tokens:
            self.prefilled_tokens = prefilled_tokens
            self._observed_at_s = now_s
            return
        elapsed_s = now_s - self._observed_at_s
        if elapsed_s < 0.2:
            return
        prefill_load = (prefilled_tokens - self.prefilled_tokens) / elapsed_s / PREFILL_TOKENS_PER_S
        # An engine prefills between the decode steps of its streams; both at once cost little more.
        sample = max(prefill_load, running / max(1, self._slots))
        if sample > 0 and self._first_load_at_s is None:
            self._first_load_at_s = self._observed_at_s
        weight = 1 - math.exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
        self._average_load += weight * (sample - self._average_load)
        self.prefilled_tokens = prefilled_tokens
        self._observed_at_s = now_s

    @property
    def busy_engines(self) -> float:
        """The average load in busy engines.

        The average rises from zero. Shortly after the start it is therefore divided by the share
        of its final value that it would have reached under a steady load.
        """
        measured_s = max(MIN_AVERAGING_S, self.measured_for_s(self._observed_at_s))
        return self._average_load / (1 - math.exp(-measured_s / LOAD_TIME_CONSTANT_S))

    def measured_for_s(self, now_s: float) -> float:
        """Return the time since the first load was observed."""
        return 0.0 if self._first_load_at_s is None else now_s - self._first_load_at_s

    def requirement(self) -> EngineRequirement:
        """Return the number of engines needed for the current load."""
        self._requirement = EngineRequirement(
            self._with_hysteresis(MAX_UTILIZATION, self._requirement.after_reclaim),
            self._with_hysteresis(TARGET_UTILIZATION, self._requirement.target),
        )
        return self._requirement

    def _with_hysteresis(self, utilization: float, previous: int) -> int:
        engines = max(MIN_ENGINES, math.ceil(self.busy_engines / utilization))
        if engines >= previous:
            return engines
        with_margin = math.ceil(self.busy_engines * (1 + SCALE_DOWN_HYSTERESIS) / utilization)
        return max(engines, min(previous, with_margin))
