"""Small learners: a moving average and a straight line, both forgetting the past."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class MovingAverage:
    """Exponentially weighted average of a figure.

    :ivar value: the average; the prior before the first sample
    :ivar weight: weight of a new sample
    """

    value: float
    weight: float = 0.1

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self.value += self.weight * (sample - self.value)


@dataclass(slots=True)
class FadingAverage:
    """Average that fades to zero while no samples come, so that it never bars the next one."""

    weight: float = 0.25
    half_life_s: float = 1.0
    _value: float = 0.0
    _at_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Return the average, faded by its age."""
        age_s = max(0.0, now_s - self._at_s)
        return self._value * 0.5 ** (age_s / self.half_life_s)

    def add(self, sample: float, now_s: float) -> None:
        """Take in a sample."""
        faded = self.at(now_s)
        self._value = faded + self.weight * (sample - faded)
        self._at_s = now_s


@dataclass(slots=True)
class Line:
    """Least squares through samples (x, y) that count less the older they are.

    :ivar slope: growth of y with x, never negative
    :ivar mean_x: average x
    :ivar mean_y: average y
    """

    mean_x: float
    mean_y: float
    slope: float
    weight: float = 0.02
    _variance: float = 1.0
    _covariance: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Take in a sample."""
        distance_x = x - self.mean_x
        distance_y = y - self.mean_y
        self.mean_x += self.weight * distance_x
        self.mean_y += self.weight * distance_y
        keep = 1.0 - self.weight
        self._variance = keep * (self._variance + self.weight * distance_x * distance_x)
        self._covariance = keep * (self._covariance + self.weight * distance_x * distance_y)
        # A spread below one call says nothing about the slope.
        if self._variance > 1.0:
            self.slope = max(0.0, self._covariance / self._variance)

    def at(self, x: float) -> float:
        """Return the estimate of y at an x, never negative."""
        return max(0.0, self.mean_y + self.slope * (x - self.mean_x))


class PrefixMemory:
    """Prefix blocks that an engine was given lately, within a bound; the oldest go first.

    :ivar capacity: most blocks remembered
    """

    __slots__ = ("_blocks", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, blocks: Sequence[str]) -> None:
        """Note that the engine computed or used a prefix."""
        # The last block is touched first, so that a prefix loses its end before its beginning.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def forget(self, blocks: Sequence[str]) -> None:
        """Note that the engine does not have these blocks."""
        for block in blocks:
            self._blocks.pop(block, None)

    def depth(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks are remembered."""
        for depth, block in enumerate(blocks):
            if block not in self._blocks:
                return depth
        return len(blocks)
