"""Interface of the platform's cloud API."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class FencingToken:
    """Shows that a call comes from the holder of a duty.

    :ivar holder: name of the daemon that holds the duty
    :ivar number: greater than the numbers of all previous holders
    """

    holder: str
    number: int


class CloudRefused(GodwitpathError):
    """The platform refused the call and did nothing."""


class CloudUncertain(GodwitpathError):
    """The response was lost; the call may have been carried out or may still be."""


class FencedOff(GodwitpathError):
    """A later holder of the duty has already called."""


class Cloud(Protocol):
    """Calls to the cloud API that need a fencing token."""

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report the number of requests of each account that started to run in a usage window."""

    async def order_engines(
        self, fencing_token: FencingToken, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Set the ordered number of engines of a kind.

        :returns: whether the engines are available
        """
