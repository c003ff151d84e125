"""Removal of execution records after their retention time.

Only finished and released records are removed. A record of a call that may have been sent is kept
until its outcome is known, because a paused attempt may still resume and send the call.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.duties.duty import Duty
from godwitpath.duties.manager import DutyManager
from godwitpath.execution.record import PREFIX, decode
from godwitpath.ports.kv import KeyValueStore, RevisionConflict, StoreError

PAGE_KEYS = 200
"""Number of execution records that a sweep reads from the store at once."""

PAGE_PAUSE_S = 0.5
"""Pause of a sweep between two pages."""

SWEEP_INTERVAL_S = 600.0
"""Interval between two sweeps."""

SWEEP_DUTY = Duty("sweep", "executions")
"""Duty whose holder sweeps, so that only one entry of the deployment does."""


@dataclass(slots=True)
class SweepResult:
    """Numbers of execution records in one sweep.

    :ivar unresolved: number of records kept because their call may have been sent
    :ivar complete: whether all records were scanned without a store error
    """

    scanned: int = 0
    removed: int = 0
    unresolved: int = 0
    complete: bool = False


class ExecutionSweeper:
    """Sweeps execution records periodically while this entry holds :data:`SWEEP_DUTY`.

    :ivar last_result: result of this entry's last sweep, None before the first sweep
    """

    def __init__(self, store: KeyValueStore, duty_manager: DutyManager, retention_s: float) -> None:
        self._store = store
        self._duty_manager = duty_manager
        self._retention_s = retention_s
        self.last_result: SweepResult | None = None

    async def run(self) -> None:
        """Sweep at every :data:`SWEEP_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._holds_duty():
                self.last_result = await sweep(self._store, self._retention_s, self._holds_duty)

    def _holds_duty(self) -> bool:
        return self._duty_manager.fencing_token(SWEEP_DUTY) is not None


async def sweep(
    store: KeyValueStore,
    retention_s: float,
    holds_duty: Callable[[], bool],
    wall_clock: Callable[[], float] = time.time,
    page_pause_s: float = PAGE_PAUSE_S,
) -> SweepResult:
    """Remove finished and released records past their retention time, page by page.

    :param retention_s: time for which the outcome of an operation is kept
    :param holds_duty: returns whether this process still holds the duty; called before each page
    :param page_pause_s: pause between two pages
    """
    result = SweepResult()
    after = PREFIX
    while holds_duty():
        try:
            page = await store.scan(PREFIX, PAGE_KEYS, after)
            for item in page:
                result.scanned += 1
                record = decode(item.value)
                if record.state == "sent":
                    result.unresolved += 1
                elif wall_clock() - record.changed_at_s > retention_s:
                    result.removed += await _remove(store, item.key, item.revision)
        except StoreError:
            return result
        if len(page) < PAGE_KEYS:
            result.complete = True
            return result
        after = page[-1].key
        await asyncio.sleep(page_pause_s)
    return result


async def _remove(store: KeyValueStore, key: str, revision: int) -> bool:
    try:
        await store.delete(key, revision)
    except RevisionConflict:
        return False
    return True
