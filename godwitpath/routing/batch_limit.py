"""Estimate, from load reports, of how many calls fit in an engine's batch."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.ports.engine import LoadReport

MIN_FULL_BATCH_CALLS = 16
"""Smallest batch that counts as full; calls beside a smaller batch wait for their prefill."""

MIN_WAITING_CALLS = 4
"""Fewest waiting calls at which a batch counts as full."""

MAX_WAITING_TOKENS = 2_000
"""Most waiting prompt tokens of all calls beside a full batch; one or two steps prefill as many."""

MIN_FULL_FRACTION = 0.8
"""Fraction of the known limit below which a batch that seems full is ignored."""

GROWTH_FACTOR = 1.01
"""Growth of the limit at each report without a full batch, so that larger batches are tried."""

MAX_LIMIT_CALLS = 1024.0
"""Limit above which the batch counts as unlimited."""


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
        full = (
            report.running >= MIN_FULL_BATCH_CALLS
            and report.waiting >= MIN_WAITING_CALLS
            and report.waiting_tokens <= MAX_WAITING_TOKENS
        )
        if full and report.running < self.limit * MIN_FULL_FRACTION:
            return
        if full:
            self.limit = float(report.running)
        elif self.limit:
            self.limit = max(self.limit * GROWTH_FACTOR, float(report.running))
        if self.limit > MAX_LIMIT_CALLS:
            self.limit = 0.0
