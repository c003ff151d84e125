"""Measures how many prompt tokens per second the engines of a service prefill.

No configuration states that speed. Deployments differ several times in it, and the number of
engines that a load needs follows from it. It is taken from the times to the first event of streams
at engines where no other prompt is known to wait: the difference between long and short prompts,
since the rest of that time is the same for both.

Only the part of a prompt that belongs to its request alone is counted, because other parts may be
in the engine's KV cache. Whatever else an engine prefills makes the result too low, so that rather
too many engines are ordered than too few.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from statistics import median

DEFAULT_TOKENS_PER_S = 38_700.0
"""Speed that is assumed until another one was measured, as the first deployments stated it. Lower
measurements are not used: they may stem from prompts that were not cached."""

MAX_TOKENS_PER_S = 8 * DEFAULT_TOKENS_PER_S
"""Greatest speed that is believed."""

MAX_SAMPLES = 64
"""Number of the last streams that are measured."""

MIN_DIFFERENCE_TOKENS = 1000
"""Smallest difference in length that a measurement needs: it takes several times as long to prefill
as a step of the engine."""

MIN_MEASUREMENTS = 6
"""Number of measurements from which a daemon states a speed."""


class ReadSpeedEstimator:
    """Measures the speed of one service's engines."""

    def __init__(self) -> None:
        # Tokens of the request's own part, and time to the first event in seconds.
        self._samples: deque[tuple[int, float]] = deque(maxlen=MAX_SAMPLES)

    def add(self, own_tokens: int, took_s: float) -> None:
        """Add the time to the first event of a stream that had the engine's prefill to itself.

        :param own_tokens: tokens of the prompt's part that no other request shares
        :param took_s: time to the first event without the round trip
        """
        if own_tokens > 0 and took_s > 0.0:
            self._samples.append((own_tokens, took_s))

    def tokens_per_s(self) -> float | None:
        """Return the measured speed, None if there are too few measurements."""
        if not self._samples:
            return None
        base_tokens, base_s = min(self._samples, key=lambda sample: sample[1])
        speeds = [
            (tokens - base_tokens) / (took_s - base_s)
            for tokens, took_s in self._samples
            if tokens - base_tokens >= MIN_DIFFERENCE_TOKENS and took_s > base_s
        ]
        return median(speeds) if len(speeds) >= MIN_MEASUREMENTS else None


def common_speed(measured_tokens_per_s: Iterable[float]) -> float:
    """Return the speed of a service's engines in tokens per second, from all daemons' results."""
    measured = list(measured_tokens_per_s)
    if not measured:
        return DEFAULT_TOKENS_PER_S
    return min(MAX_TOKENS_PER_S, max(DEFAULT_TOKENS_PER_S, median(measured)))
