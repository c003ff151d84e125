"""In-memory state of the cloud, its delayed instance list and the weight store."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from godwitpath.ports.engine import Address
from godwitpath.ports.platform import CloudRefused, Instance, Offer, ReclaimNotice, WeightVersion

RECLAIMABLE_PRICE_RATIO = 0.35
"""Price of a reclaimable instance as a fraction of the on-demand price."""

REFUSAL_RETRY_AFTER_S = 5.0
MAX_LIST_SNAPSHOTS = 1000
WEIGHTS_BYTES = 4_000_000_000
WEIGHTS_BYTES_PER_S = 2_000_000_000


@dataclass(slots=True, frozen=True)
class Spare:
    """A running process that the cloud can provide as an instance.

    :ivar machine_class: machine class that the instance reports
    """

    instance_id: str
    region: str
    availability_zone: str
    machine_class: str
    address: Address


class PlatformCore:
    """Instances, offers, reclaim notices and weights; every call is atomic.

    :param clock: returns the time in seconds
    :param list_lag_s: age of the instance list that callers see
    :ivar list_lag_s: age of the instance list that callers see
    :ivar refuse_instances: whether every request for an instance is refused
    """

    def __init__(self, clock: Callable[[], float], list_lag_s: float = 1.0) -> None:
        self._clock = clock
        self._instances: dict[str, Instance] = {}
        self._spares: dict[str, Spare] = {}
        self._instance_id_by_token: dict[str, str] = {}
        self._offers: list[Offer] = []
        self._snapshots: deque[tuple[float, list[Instance]]] = deque(maxlen=MAX_LIST_SNAPSHOTS)
        self._reclaim_at_s: dict[str, float] = {}
        self._listeners: set[Callable[[ReclaimNotice], None]] = set()
        self._versions: dict[str, list[WeightVersion]] = {}
        self._weights_free_at_s = 0.0
        self.list_lag_s = list_lag_s
        self.refuse_instances = False
        self.on_reclaimed: Callable[[Instance], None] | None = None

    def register(self, instances: Iterable[Instance], spares: Iterable[Spare] = ()) -> None:
        """Add or replace instances and spares."""
        for instance in instances:
            self._instances[instance.instance_id] = instance
        for spare in spares:
            self._spares[spare.instance_id] = spare
        self._record_snapshot()

    def remove(self, instance_ids: Iterable[str]) -> None:
        """Remove instances; unknown ones are ignored."""
        for instance_id in instance_ids:
            self._instances.pop(instance_id, None)
            self._reclaim_at_s.pop(instance_id, None)
        self._record_snapshot()

    def set_offers(self, offers: list[Offer]) -> None:
        """Replace the offers."""
        self._offers = list(offers)

    def offers(self) -> list[Offer]:
        """Return the current offers."""
        return list(self._offers)

    def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        """Turn a matching spare into an instance; idempotent per request token.

        :raises CloudRefused: no spare matches, or `refuse_instances` is set
        """
        existing = self._instances.get(self._instance_id_by_token.get(request_token, ""))
        if existing is not None:
            return existing
        spare = None if self.refuse_instances else self._find_spare(offer)
        if spare is None:
            raise CloudRefused("no instance of that kind", REFUSAL_RETRY_AFTER_S)
        del self._spares[spare.instance_id]
        instance = Instance(
            instance_id=spare.instance_id,
            purpose=purpose,
            region=spare.region,
            availability_zone=spare.availability_zone,
            state="live",
            machine_class=spare.machine_class,
            reclaimable=offer.reclaimable,
            price_per_h=offer.price_per_h,
            address=spare.address,
        )
        self._instance_id_by_token[request_token] = instance.instance_id
        self.register([instance])
        return instance

    def release(self, instance_id: str) -> None:
        """Turn an instance back into a spare."""
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        spare = Spare(
            instance_id,
            instance.region,
            instance.availability_zone,
            instance.machine_class,
            instance.address,
        )
        self.remove([instance_id])
        self._spares[instance_id] = spare

    def reclaim(self, selected: str | list[str], notice_s: float) -> list[str]:
        """Send a reclaim notice for instances.

        :param selected: availability zone, for all its reclaimable instances, or instance names
        :param notice_s: time until the instances are removed
        :returns: names of the instances to be removed
        """
        if isinstance(selected, str):
            reclaimed_ids = [
                item.instance_id
                for item in self._instances.values()
                if item.reclaimable and item.availability_zone == selected
            ]
        else:
            reclaimed_ids = [
                instance_id for instance_id in selected if instance_id in self._instances
            ]
        for instance_id in reclaimed_ids:
            instance = self._instances[instance_id]
            self._instances[instance_id] = replace(instance, state="leaving")
            self._reclaim_at_s[instance_id] = self._clock() + notice_s
        self._record_snapshot()
        for instance_id in reclaimed_ids:
            notice = ReclaimNotice(instance_id, notice_s)
            for listener in list(self._listeners):
                listener(notice)
        return reclaimed_ids

    def pending_notices(self) -> list[ReclaimNotice]:
        """Return the notices of the instances that have not been removed yet."""
        now_s = self._clock()
        return [
            ReclaimNotice(name, max(0.0, at_s - now_s)) for name, at_s in self._reclaim_at_s.items()
        ]

    def listen(self, listener: Callable[[ReclaimNotice], None]) -> None:
        """Register a listener for reclaim notices."""
        self._listeners.add(listener)

    def unlisten(self, listener: Callable[[ReclaimNotice], None]) -> None:
        """Remove a listener."""
        self._listeners.discard(listener)

    def remove_reclaimed(self) -> list[Instance]:
        """Remove the instances with an expired reclaim notice, and return them."""
        now_s = self._clock()
        due_ids = [name for name, at_s in self._reclaim_at_s.items() if at_s <= now_s]
        reclaimed = [self._instances[name] for name in due_ids if name in self._instances]
        if due_ids:
            self.remove(due_ids)
        return reclaimed

    def instances(self) -> list[Instance]:
        """Return the instance list as it was `list_lag_s` seconds ago."""
        self.remove_reclaimed()
        due_s = self._clock() - self.list_lag_s
        oldest: list[Instance] = self._snapshots[0][1] if self._snapshots else []
        for at_s, instances in reversed(self._snapshots):
            if at_s <= due_s:
                return instances
        return oldest

    def set_versions(self, versions: Iterable[WeightVersion]) -> None:
        """Replace the versions in the weight store."""
        self._versions = {}
        for version in versions:
            self._versions.setdefault(version.model, []).append(version)

    def versions(self, model: str) -> list[WeightVersion]:
        """Return the versions of a model in the weight store."""
        return list(self._versions.get(model, []))

    def queue_transfer(self, model: str, version: str) -> float | None:
        """Queue a transfer from the weight store, which serves one transfer at a time.

        :returns: time until the transfer is complete, None for unknown weights
        """
        matching_versions = [item for item in self.versions(model) if item.version == version]
        if not matching_versions:
            return None
        now_s = self._clock()
        transfer_s = matching_versions[0].size_bytes / WEIGHTS_BYTES_PER_S
        self._weights_free_at_s = max(now_s, self._weights_free_at_s) + transfer_s
        return self._weights_free_at_s - now_s

    def _find_spare(self, offer: Offer) -> Spare | None:
        for spare in self._spares.values():
            same_zone = spare.availability_zone == offer.availability_zone
            if same_zone and spare.machine_class == offer.machine_class:
                return spare
        return None

    def _record_snapshot(self) -> None:
        self._snapshots.append((self._clock(), list(self._instances.values())))
