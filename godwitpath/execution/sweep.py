"""Removes the execution records whose time is over.

Only settled records go. A record whose call may have been sent stays until its outcome is known,
because its holder may still wake up and send.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.execution.record import PREFIX, decode
from godwitpath.ports.kv import KeyValueStore, RevisionConflict, StoreError

PAGE_KEYS = 200
PAUSE_S = 0.5


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
