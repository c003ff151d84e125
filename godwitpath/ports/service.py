"""Port of the plain services, to which whole calls are forwarded."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from godwitpath.errors import GodwitpathError
from godwitpath.ports.engine import Address


@dataclass(slots=True)
class ServiceCall:
    """One attempt at a call of a plain service.

    :ivar method: HTTP method
    :ivar path: path and query at the service, with the leading slash
    :ivar headers: end-to-end headers to forward, names in lower case
    :ivar body: request body
    :ivar request_id: identifier of the caller's request
    :ivar attempt_id: random identifier of this attempt, echoed by the service
    :ivar timeout_s: longest time until the whole response has arrived
    :ivar idempotency_key: the caller's idempotency key, empty for none
    :ivar new_connection: whether to open a new connection instead of using a pooled one
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    attempt_id: str
    timeout_s: float
    idempotency_key: str = ""
    new_connection: bool = False


@dataclass(slots=True)
class ServiceResponse:
    """A complete response of a plain service."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


class ServiceError(GodwitpathError):
    """Base of the errors of a plain service."""


class ServiceNotSent(ServiceError):
    """The call was not sent, or the service refused it before running it.

    :ivar retry_after_s: delay before a retry as given by the service, 0 when it gave none
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ServiceUncertain(ServiceError):
    """The call may have run, but no complete response arrived."""


class PlainService(ABC):
    """Interface to the plain services; one adapter serves all of them."""

    @abstractmethod
    async def call(self, address: Address, call: ServiceCall) -> ServiceResponse:
        """Forward a call and return the complete response.

        :raises ServiceNotSent: the call did not run
        :raises ServiceUncertain: the call may have run
        """
