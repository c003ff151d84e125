"""Port of the plain services that the system forwards whole calls to."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from godwitpath.errors import GodwitpathError
from godwitpath.ports.engine import Address


@dataclass(slots=True)
class ServiceCall:
    """One attempt at a call of a plain service.

    :ivar method: HTTP method
    :ivar path: path and query at the service, from the leading slash
    :ivar headers: end-to-end headers to pass on, names in lower case
    :ivar attempt_id: random identifier of this attempt, echoed by the service
    :ivar idempotency_key: the caller's key, empty for none
    :ivar fresh_connection: whether a pooled connection must not be used
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    attempt_id: str
    timeout_s: float
    idempotency_key: str = ""
    fresh_connection: bool = False


@dataclass(slots=True)
class ServiceAnswer:
    """A whole answer of a plain service."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


class ServiceError(GodwitpathError):
    """Base of the errors of a plain service."""


class ServiceNotSent(ServiceError):
    """No byte of the call left, or the service provably refused it before running it.

    :ivar retry_after_s: the service's own advice, 0 when it gave none
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ServiceUncertain(ServiceError):
    """The call may have run; its whole answer did not arrive."""


class PlainService(ABC):
    """What the system needs of every plain service; one adapter serves them all."""

    @abstractmethod
    async def call(self, address: Address, call: ServiceCall) -> ServiceAnswer:
        """Forward a call and return the whole answer.

        :raises ServiceNotSent: the call certainly did not run
        :raises ServiceUncertain: the call may have run
        """
