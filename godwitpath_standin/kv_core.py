"""In-memory state of the key-value service: compare-and-swap, leases and watches."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitpath.ports.kv import (
    ABSENT,
    KeyValue,
    Lease,
    LeaseLapsed,
    RevisionConflict,
    StoreRefused,
    WatchEvent,
)

MAX_VALUE_BYTES = 1_048_576
MAX_HISTORY_EVENTS = 20_000

Listener = Callable[[WatchEvent], None]


@dataclass(slots=True)
class _LeaseState:
    ttl_s: float
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _StoredValue:
    value: bytes
    revision: int
    lease_id: int


class KeyValueCore:
    """Keys, leases and listeners; every call is atomic.

    :param clock: returns the time in seconds, for the expiry of leases
    :ivar revision: revision of the last change
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._values: dict[str, _StoredValue] = {}
        self._leases: dict[int, _LeaseState] = {}
        self._last_lease_id = 0
        self._history: deque[WatchEvent] = deque(maxlen=MAX_HISTORY_EVENTS)
        self._listeners: dict[int, tuple[str, Listener]] = {}
        self._last_listener_id = 0
        self.revision = 0

    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value and revision, None when it is absent."""
        self.expire()
        return self._current(key)

    def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        """Return the keys that start with a prefix, sorted by name.

        :param limit: maximum number of keys
        :param after: return only keys that sort after this name; empty for all
        """
        self.expire()
        names = sorted(name for name in self._values if name.startswith(prefix))
        first = bisect_right(names, after) if after else 0
        items_or_none = (self._current(name) for name in names[first : first + limit])
        return [item for item in items_or_none if item is not None]

    def put(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if its current revision is the expected one.

        :param expected_revision: `ABSENT` for a key that does not exist yet
        :param lease_id: lease that deletes the key at its end; 0 for none
        :returns: new revision
        :raises StoreRefused: the value is too large
        :raises LeaseLapsed: the lease is not known
        :raises RevisionConflict: the key has another revision
        """
        self.expire()
        if len(value) > MAX_VALUE_BYTES:
            raise StoreRefused(f"value of {key} is larger than {MAX_VALUE_BYTES} bytes")
        if lease_id and lease_id not in self._leases:
            raise LeaseLapsed(f"lease {lease_id} is not known")
        self._check_revision(key, expected_revision)
        self._detach_lease(key)
        self.revision += 1
        self._values[key] = _StoredValue(value, self.revision, lease_id)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._publish(WatchEvent(key, value, self.revision))
        return self.revision

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if its current revision is the expected one.

        :raises RevisionConflict: the key has another revision
        """
        self.expire()
        self._check_revision(key, expected_revision)
        if key in self._values:
            self._remove(key)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease."""
        self.expire()
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _LeaseState(ttl_s, self._clock() + ttl_s)
        return Lease(self._last_lease_id, ttl_s)

    def renew_lease(self, lease_id: int) -> None:
        """Restart the time to live of a lease.

        :raises LeaseLapsed: the lease is not known
        """
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseLapsed(f"lease {lease_id} is not known")
        lease.expires_at_s = self._clock() + lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; does nothing for an unknown lease."""
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else []:
            self._remove(key)

    def expire(self) -> None:
        """Revoke every expired lease."""
        if not self._leases:
            return
        now_s = self._clock()
        expired_ids = [
            expired_id for expired_id, lease in self._leases.items() if lease.expires_at_s <= now_s
        ]
        for lease_id in expired_ids:
            self.revoke_lease(lease_id)

    def next_expiry_s(self) -> float | None:
        """Return the time at which the next lease expires, None without leases."""
        return min((lease.expires_at_s for lease in self._leases.values()), default=None)

    def listen(self, prefix: str, after_revision: int, listener: Listener) -> int:
        """Register a listener for the changes of the keys with a prefix after a revision.

        Past changes are delivered before the method returns.

        :returns: identifier of the listener for :meth:`unlisten`
        """
        self.expire()
        for event in self._past_events(after_revision):
            if event.key.startswith(prefix):
                listener(event)
        self._last_listener_id += 1
        self._listeners[self._last_listener_id] = (prefix, listener)
        return self._last_listener_id

    def unlisten(self, listener_id: int) -> None:
        """Remove a listener; does nothing for an unknown identifier."""
        self._listeners.pop(listener_id, None)

    def _past_events(self, after_revision: int) -> list[WatchEvent]:
        oldest = self._history[0].revision if self._history else 1
        if after_revision + 1 >= oldest:
            return [event for event in self._history if event.revision > after_revision]
        # The history no longer reaches back to that revision; the current values are sent.
        newer = [
            (key, item) for key, item in self._values.items() if item.revision > after_revision
        ]
        newer.sort(key=lambda pair: pair[1].revision)
        return [WatchEvent(key, item.value, item.revision) for key, item in newer]

    def _current(self, key: str) -> KeyValue | None:
        stored = self._values.get(key)
        return KeyValue(key, stored.value, stored.revision) if stored else None

    def _check_revision(self, key: str, expected_revision: int) -> None:
        current = self._current(key)
        if (current.revision if current else ABSENT) != expected_revision:
            raise RevisionConflict(key, current)

    def _detach_lease(self, key: str) -> None:
        stored = self._values.get(key)
        if stored and stored.lease_id in self._leases:
            self._leases[stored.lease_id].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_lease(key)
        del self._values[key]
        self.revision += 1
        self._publish(WatchEvent(key, None, self.revision))

    def _publish(self, event: WatchEvent) -> None:
        self._history.append(event)
        for prefix, listener in list(self._listeners.values()):
            if event.key.startswith(prefix):
                listener(event)
