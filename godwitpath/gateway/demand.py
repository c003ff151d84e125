"""Estimates the load of a service in busy engines, and the number of engines that it needs.

A load of 1.5 busy engines is the work that would keep one engine busy all the time and a second one
half of the time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from godwitpath.gateway.read_speed import DEFAULT_TOKENS_PER_S

TARGET_UTILIZATION = 0.35
"""Target share of an engine's capacity that is used while reclaimable engines are available: one
more reclaimable engine costs a fraction of a late response."""

MAX_UTILIZATION = 0.6
"""Maximum share of an engine's capacity that is used after a reclaim: above it the time to the
first token grows faster than the load."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the average load, about the boot time of an engine. It is the same for rising
and falling load: a shorter one for rising load would overestimate uneven traffic."""

MIN_AVERAGING_S = 1.5
"""Minimum measuring time that `LoadEstimator.busy_engines` assumes in its correction after the
start: a burst in the first second is not representative."""

SCALE_DOWN_HYSTERESIS = 0.1
"""Share by which the load must fall below the limit of a smaller number of engines before that
number is required, so that the requirement does not oscillate at the limit."""

MIN_ENGINES = 2
"""Minimum number of planned engines: if one fails, another is left."""


@dataclass(slots=True, frozen=True)
class EngineRequirement:
    """Number of engines that a service needs.

    :ivar after_reclaim: number of engines that must be left after one zone has lost its reclaimable
        engines
    :ivar target: number of engines at all other times, if enough reclaimable engines are available
    """

    after_reclaim: int
    target: int

    def increased_by(self, engines: int) -> EngineRequirement:
        """Return this requirement with more engines, for present ones that take little load."""
        return EngineRequirement(self.after_reclaim + engines, self.target + engines)

    def raised_to(self, engines: int) -> EngineRequirement:
        """Return this requirement, raised to at least the given number of engines.

        :param engines: minimum number of engines after a reclaim; raises the target in proportion
        """
        target = math.ceil(engines * MAX_UTILIZATION / TARGET_UTILIZATION)
        return EngineRequirement(max(self.after_reclaim, engines), max(self.target, target))


class LoadEstimator:
    """Estimates the load of one service in busy engines.

    :param slots: number of concurrent streams that keep an engine busy: its batch size
    :ivar last_prefilled_total: last observed total of prompt tokens sent for prefill since the
        start, None before the first sample
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._average_load = 0.0
        self.last_prefilled_total: int | None = None
        self._observed_at_s = 0.0
        self._first_load_at_s: float | None = None
        self._requirement = EngineRequirement(MIN_ENGINES, MIN_ENGINES)

    def observe(
        self,
        prefilled_total: int,
        running_streams: int,
        now_s: float,
        tokens_per_s: float = DEFAULT_TOKENS_PER_S,
    ) -> None:
        """Add a sample of the service's load, summed over all daemons.

        :param prefilled_total: total of prompt tokens sent to engines for prefill since the start
        :param running_streams: number of streams that run now
        :param tokens_per_s: prompt tokens that one engine prefills per second
        """
        if self.last_prefilled_total is None or prefilled_total < self.last_prefilled_total:
            self.last_prefilled_total = prefilled_total
            self._observed_at_s = now_s
            return
        elapsed_s = now_s - self._observed_at_s
        if elapsed_s < 0.2:
            return
        prefill_load = (prefilled_total - self.last_prefilled_total) / elapsed_s / tokens_per_s
        # The larger load counts, not the sum: an engine prefills between the decode steps of its
        # streams, and both at once cost little more.
        load_sample = max(prefill_load, running_streams / max(1, self._slots))
        if load_sample > 0 and self._first_load_at_s is None:
            self._first_load_at_s = self._observed_at_s
        weight = 1 - math.exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
        self._average_load += weight * (load_sample - self._average_load)
        self.last_prefilled_total = prefilled_total
        self._observed_at_s = now_s

    @property
    def busy_engines(self) -> float:
        """The average load in busy engines.

        The moving average rises from zero. It is therefore divided by the share of its final value
        that it would have reached by now under a steady load.
        """
        measured_s = max(MIN_AVERAGING_S, self.measured_for_s(self._observed_at_s))
        return self._average_load / (1 - math.exp(-measured_s / LOAD_TIME_CONSTANT_S))

    def measured_for_s(self, now_s: float) -> float:
        """Return the seconds since the first load was observed, 0 before it."""
        return 0.0 if self._first_load_at_s is None else now_s - self._first_load_at_s

    def requirement(self) -> EngineRequirement:
        """Return the number of engines needed for the current load."""
        self._requirement = EngineRequirement(
            self._engines_needed(MAX_UTILIZATION, self._requirement.after_reclaim),
            self._engines_needed(TARGET_UTILIZATION, self._requirement.target),
        )
        return self._requirement

    def _engines_needed(self, utilization: float, previous: int) -> int:
        """Return the number of engines needed, with hysteresis when it falls.

        :param utilization: maximum share of an engine's capacity that is used
        :param previous: number of engines that were last needed
        """
        engines = max(MIN_ENGINES, math.ceil(self.busy_engines / utilization))
        if engines >= previous:
            return engines
        engines_with_margin = math.ceil(
            self.busy_engines * (1 + SCALE_DOWN_HYSTERESIS) / utilization
        )
        return max(engines, min(previous, engines_with_margin))
