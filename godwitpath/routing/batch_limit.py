"""Learns from load reports how many calls fit in an engine's batch."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.ports.engine import LoadReport

MIN_BATCH = 16
"""Smallest batch that is taken as full; in smaller ones calls wait for their prompt."""

MANY_WAITING = 4
"""Calls that wait before a full batch, at least."""

FEW_TOKENS = 2_000
"""Prompt tokens that are computed within about a step or two, however many calls they are of."""

NEAR_LIMIT = 0.8
"""Part of the known limit below which a batch that seems full is not believed."""

GROWTH = 1.01
"""Factor on the limit at each report that does not confirm it, so that more is tried again."""

FORGET_BATCH = 1024.0
"""Limit from which on none is known."""


@dataclass(slots=True)
class BatchLimit:
    """The limit of one engine's batch.

    A batch is full when many calls wait although their prompts are short: they wait for room, not
    for their prompts.

    :ivar limit: calls that fit, 0 while it is not known
    """

    limit: float = 0.0

    def add(self, report: LoadReport) -> None:
        """Take in a report."""
        full = (
            report.running >= MIN_BATCH
            and report.waiting >= MANY_WAITING
            and report.waiting_tokens <= FEW_TOKENS
        )
        if full and report.running < self.limit * NEAR_LIMIT:
            return
        if full:
            self.limit = float(report.running)
        elif self.limit:
            self.limit = max(self.limit * GROWTH, float(report.running))
        if self.limit > FORGET_BATCH:
            self.limit = 0.0
