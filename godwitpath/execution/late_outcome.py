"""Completion of an execution record with the outcome that the called service reported later."""

from __future__ import annotations

import msgspec

from godwitpath.execution.record import decode, encode, store_key
from godwitpath.ports.kv import KeyValueStore, StoreError
from godwitpath.records.record import Outcome


async def store_late_outcome(
    store: KeyValueStore, account: str, idempotency_key: str, outcome: Outcome, changed_at_s: float
) -> bool:
    """Store an outcome in an execution record of state `sent`.

    :param changed_at_s: wall-clock time of the change, in seconds since 1970
    :returns: whether the record now holds an outcome
    """
    key = store_key(account, idempotency_key)
    try:
        stored = await store.get(key)
        if stored is None:
            return False
        record = decode(stored.value)
        if record.state != "sent":
            return record.state == "finished"
        finished_record = msgspec.structs.replace(
            record, state="finished", outcome=outcome, changed_at_s=changed_at_s
        )
        await store.put(key, encode(finished_record), stored.revision)
    except StoreError:
        # The record is completed when a caller next asks for the outcome.
        return False
    return True
