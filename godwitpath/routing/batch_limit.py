"""Estimate, from load reports, of how many calls fit in an engine's batch."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.ports.engine import LoadReport

MIN_FULL_BATCH_CALLS = 16
"""Fewest running calls at which a batch can count as full.

Calls that wait while fewer calls run are taken to wait for their prefill.
"""

MIN_WAITING_CALLS = 4
"""Fewest waiting calls at which a batch counts as full."""

MAX_WAITING_TOKENS = 2_000
"""Most waiting prompt tokens of all calls with which a batch counts as full.

An engine prefills as many in one or two steps.
"""

MIN_FULL_FRACTION = 0.8
"""Smallest ratio of running calls to the known limit at which a full batch sets the limit.

A load report with a full but smaller batch is ignored.
"""

GROWTH_FACTOR = 1.01
"""Factor on the limit at each load report without a full batch, to try larger batches."""

MAX_LIMIT_CALLS = 1024.0
"""Estimated limit above which a batch counts as unlimited."""


@dataclass(slots=True)
class BatchLimit:
    """Estimated limit of one engine's batch.

    A batch is full when many calls wait although few prompt tokens wait: the calls wait for a
    free batch slot, not for prefill.

    :ivar limit: calls that fit in the batch, 0 while unknown
    """

    limit: float = 0.0

    def add(self, report: LoadReport) -> None:
        """Update the estimate from a load report."""
        is_full = (
            report.running >= MIN_FULL_BATCH_CALLS
            and report.waiting >= MIN_WAITING_CALLS
            and report.waiting_tokens <= MAX_WAITING_TOKENS
        )
        if is_full and report.running < self.limit * MIN_FULL_FRACTION:
            return
        if is_full:
            self.limit = float(report.running)
        elif self.limit:
            self.limit = max(self.limit * GROWTH_FACTOR, float(report.running))
        if self.limit > MAX_LIMIT_CALLS:
            self.limit = 0.0
