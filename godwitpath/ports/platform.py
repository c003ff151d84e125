"""Ports of the platform except the key-value service: cloud API, instance list, weight store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from godwitpath.errors import GodwitpathError
from godwitpath.ports.engine import Address


@dataclass(slots=True, frozen=True)
class Instance:
    """An instance in the platform's instance list.

    :ivar instance_id: name of the instance
    :ivar purpose: `entry`, or the name of the service that it serves
    :ivar state: `live` or `leaving`
    :ivar machine_class: machine class, as in the offer
    :ivar reclaimable: whether the cloud may reclaim the instance
    :ivar price_per_h: price per hour
    :ivar address: listening address of the process on the instance, for the callers of an entry or
        the calls to a service
    """

    instance_id: str
    purpose: str
    region: str
    availability_zone: str
    state: str
    machine_class: str
    reclaimable: bool
    price_per_h: float
    address: Address


@dataclass(slots=True, frozen=True)
class ReclaimNotice:
    """Notice that the cloud will reclaim an instance.

    :ivar instance_id: instance to be reclaimed
    :ivar notice_s: time until the reclaim, in seconds
    """

    instance_id: str
    notice_s: float


@dataclass(slots=True, frozen=True)
class Offer:
    """A kind of instance that the cloud offers, with its current price per hour."""

    region: str
    availability_zone: str
    machine_class: str
    reclaimable: bool
    price_per_h: float


class CloudRefused(GodwitpathError):
    """The cloud refused to provide an instance.

    :ivar retry_after_s: delay before a retry as given by the cloud, 0 when it gave none
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformUnavailable(GodwitpathError):
    """The cloud API, instance list or weight store failed to return a usable response."""


class Cloud(ABC):
    """Interface to the cloud API."""

    @abstractmethod
    async def offers(self) -> list[Offer]:
        """Return the current offers."""

    @abstractmethod
    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        """Acquire an instance.

        :param purpose: `entry`, or the name of the service that the instance will serve
        :param request_token: idempotency token; calls with the same token return the same instance
        :raises CloudRefused: the cloud provides no instance of this offer
        """

    @abstractmethod
    async def release(self, instance_id: str) -> None:
        """Release an instance; does nothing for an unknown one."""

    @abstractmethod
    def notices(self) -> AsyncIterator[ReclaimNotice]:
        """Yield reclaim notices as they arrive; ends with :class:`PlatformUnavailable`."""


class InstanceList(ABC):
    """Interface to the platform's instance list, which lags behind the actual state."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Return the live and leaving instances in the list."""


@dataclass(slots=True, frozen=True)
class WeightVersion:
    """A version of a model's weights in the weight store.

    :ivar size_bytes: size of the weights
    :ivar adapters: names of the adapters stored with them
    """

    model: str
    version: str
    size_bytes: int
    adapters: list[str]


class WeightStore(ABC):
    """Interface to the rate-limited store of model weights."""

    @abstractmethod
    async def versions(self, model: str) -> list[WeightVersion]:
        """Return the versions of a model that can be loaded."""
