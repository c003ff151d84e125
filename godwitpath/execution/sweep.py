"""Removes the execution records whose time is over.

Only settled records go. A record whose call may have been sent stays until its outcome is known,
because its holder may still wake up and send.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.duties.duty import Duty
from godwitpath.duties.keeper import DutyKeeper
from godwitpath.execution.record import PREFIX, decode
from godwitpath.ports.kv import KeyValueStore, RevisionConflict, StoreError

PAGE_KEYS = 200
PAUSE_S = 0.5
SWEEP_INTERVAL_S = 600.0
SWEEP_DUTY = Duty("sweep", "executions")


@dataclass(slots=True)
class SweepResult:
    """What one sweep found.

    :ivar unsettled: records that are kept because their call may have been sent
    :ivar complete: whether the store answered to the end
    """

    seen: int = 0
    removed: int = 0
    unsettled: int = 0
    complete: bool = False


class ExecutionSweeper:
    """Sweeps now and then while this entry holds the duty.

    :ivar last: result of the last sweep here, None before the first
    """

    def __init__(self, store: KeyValueStore, keeper: DutyKeeper, keep_s: float) -> None:
        self._store = store
        self._keeper = keeper
        self._keep_s = keep_s
        self.last: SweepResult | None = None

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._may_act():
                self.last = await sweep(self._store, self._keep_s, self._may_act)

    def _may_act(self) -> bool:
        return self._keeper.holding(SWEEP_DUTY) is not None


async def sweep(
    store: KeyValueStore,
    keep_s: float,
    may_act: Callable[[], bool],
    wall_clock: Callable[[], float] = time.time,
    pause_s: float = PAUSE_S,
) -> SweepResult:
    """Remove settled records that are older than a time, page by page.

    :param keep_s: how long the outcome of an operation can be asked for
    :param may_act: whether this process still holds the duty; asked before each page
    """
    result = SweepResult()
    after = PREFIX
    while may_act():
        try:
            page = await store.scan(PREFIX, PAGE_KEYS, after)
            for item in page:
                result.seen += 1
                record = decode(item.value)
                if record.state == "sent":
                    result.unsettled += 1
                elif wall_clock() - record.changed_at_s > keep_s:
                    result.removed += await _remove(store, item.key, item.revision)
        except StoreError:
            return result
        if len(page) < PAGE_KEYS:
            result.complete = True
            return result
        after = page[-1].key
        await asyncio.sleep(pause_s)
    return result


async def _remove(store: KeyValueStore, key: str, revision: int) -> bool:
    try:
        await store.delete(key, revision)
    except RevisionConflict:
        return False
    return True
