"""Ports of the platform beside the key-value service: cloud API, instance list, weight store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from godwitpath.errors import GodwitpathError
from godwitpath.ports.engine import Address


@dataclass(slots=True, frozen=True)
class Instance:
    """An instance as the platform lists it.

    :ivar instance_id: name of the instance
    :ivar purpose: `entry`, or the name of the service that it serves
    :ivar state: `live` or `leaving`
    :ivar machine_class: class of the machine
    :ivar reclaimable: whether the cloud may take it back
    :ivar price_per_h: price of an hour
    :ivar address: where its process listens for callers or for calls
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
    """The cloud will take an instance back.

    :ivar instance_id: instance that goes
    :ivar notice_s: time left, in seconds
    """

    instance_id: str
    notice_s: float


@dataclass(slots=True, frozen=True)
class Offer:
    """A kind of instance that the cloud offers, with its price of the moment."""

    region: str
    availability_zone: str
    machine_class: str
    reclaimable: bool
    price_per_h: float


class CloudRefused(GodwitpathError):
    """The cloud gave no instance.

    :ivar retry_after_s: when to ask again, 0 when not said
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformUnavailable(GodwitpathError):
    """The cloud API, instance list or weight store did not answer."""


class Cloud(ABC):
    """The cloud API."""

    @abstractmethod
    async def offers(self) -> list[Offer]:
        """Return what is offered, with prices."""

    @abstractmethod
    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        """Take an instance.

        :param request_token: the same token gives the same instance, however often it is asked
        :raises CloudRefused: there is none
        """

    @abstractmethod
    async def release(self, instance_id: str) -> None:
        """Give an instance back; an unknown one is no error."""

    @abstractmethod
    def notices(self) -> AsyncIterator[ReclaimNotice]:
        """Yield reclaim notices as they come; ends with :class:`PlatformUnavailable`."""


class InstanceList(ABC):
    """The platform's lagging list of instances."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Return live and leaving instances, as the list has them."""


@dataclass(slots=True, frozen=True)
class WeightVersion:
    """A version of a model's weights in the weight store."""

    model: str
    version: str
    size_bytes: int
    adapters: list[str]


class WeightStore(ABC):
    """The rate-limited store of model weights."""

    @abstractmethod
    async def versions(self, model: str) -> list[WeightVersion]:
        """Return the versions that can be loaded."""
