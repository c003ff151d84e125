"""Settles an execution record whose outcome was learned from the service itself."""

from __future__ import annotations

import msgspec

from godwitpath.execution.record import decode, encode, store_key
from godwitpath.ports.kv import KeyValueStore, StoreError
from godwitpath.records.record import Outcome


async def settle_finished(
    store: KeyValueStore, account: str, idempotency_key: str, outcome: Outcome, changed_at_s: float
) -> bool:
    """Keep an outcome in a record that stands at `sent`.

    :param changed_at_s: wall-clock time of the change, in seconds since 1970
    :returns: whether the record holds an outcome now
    """
    key = store_key(account, idempotency_key)
    try:
        found = await store.get(key)
        if found is None:
            return False
        record = decode(found.value)
        if record.state != "sent":
            return record.state == "finished"
        settled = msgspec.structs.replace(
            record, state="finished", outcome=outcome, changed_at_s=changed_at_s
        )
        await store.put(key, encode(settled), found.revision)
    except StoreError:
        # The next caller who asks settles it.
        return False
    return True
