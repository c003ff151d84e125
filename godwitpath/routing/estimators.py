"""Online estimators that forget old samples, and the estimated content of a prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class MovingAverage:
    """Exponentially weighted moving average.

    :ivar value: the average; before the first sample, the value given to the constructor
    :ivar weight: weight of a new sample
    """

    value: float
    weight: float = 0.1

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.value += self.weight * (sample - self.value)


@dataclass(slots=True)
class DecayingAverage:
    """Moving average that decays to zero without samples.

    An engine with a high average lateness gets no calls and so no samples. The decay lets it get
    calls again.

    :ivar weight: weight of a new sample
    :ivar half_life_s: time in which the average halves without samples
    """

    weight: float = 0.25
    half_life_s: float = 1.0
    _value: float = 0.0
    _updated_at_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Return the average, decayed by its age."""
        age_s = max(0.0, now_s - self._updated_at_s)
        return self._value * 0.5 ** (age_s / self.half_life_s)

    def add(self, sample: float, now_s: float) -> None:
        """Add a sample."""
        decayed_value = self.at(now_s)
        self._value = decayed_value + self.weight * (sample - decayed_value)
        self._updated_at_s = now_s


@dataclass(slots=True)
class LinearFit:
    """Least-squares line through samples (x, y), with exponentially decaying weights.

    :ivar mean_x: weighted average of x
    :ivar mean_y: weighted average of y
    :ivar slope: growth of y with x, never negative
    :ivar weight: weight of a new sample
    """

    mean_x: float
    mean_y: float
    slope: float
    weight: float = 0.02
    _variance: float = 1.0
    _covariance: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a sample."""
        delta_x = x - self.mean_x
        delta_y = y - self.mean_y
        self.mean_x += self.weight * delta_x
        self.mean_y += self.weight * delta_y
        retained = 1.0 - self.weight
        self._variance = retained * (self._variance + self.weight * delta_x * delta_x)
        self._covariance = retained * (self._covariance + self.weight * delta_x * delta_y)
        # Samples of nearly equal x (in calls) are not enough to estimate the slope.
        if self._variance > 1.0:
            self.slope = max(0.0, self._covariance / self._variance)

    def at(self, x: float) -> float:
        """Return the estimate of y at `x`, never negative."""
        return max(0.0, self.mean_y + self.slope * (x - self.mean_x))


class CachedPrefixEstimate:
    """Prefix blocks that an engine probably has cached, with least-recently-used eviction.

    :ivar capacity: most blocks remembered
    """

    __slots__ = ("_blocks", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, blocks: Sequence[str]) -> None:
        """Record that the engine computed or used the prefix of these leading blocks."""
        # In reverse order, so that the end of a prefix is evicted before its beginning.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def forget(self, blocks: Sequence[str]) -> None:
        """Record that the engine does not have these blocks."""
        for block in blocks:
            self._blocks.pop(block, None)

    def count_cached(self, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks that the engine probably has cached."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)
