"""Interface of the platform's cloud API."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class DutyProof:
    """Shows that a call comes from the holder of a duty.

    :ivar holder: name of the daemon that holds the duty
    :ivar token: fencing token, greater than the tokens of all previous holders
    """

    holder: str
    token: int


class CloudRefused(GodwitpathError):
    """The platform refused the call and did nothing."""


class CloudUncertain(GodwitpathError):
    """The response was lost; the call may have been carried out or may still be."""


class FencedOff(GodwitpathError):
    """A later holder of the duty has already called."""


class Cloud(Protocol):
    """Calls to the cloud API that need a fencing token."""

    async def report_usage(
        self, proof: DutyProof, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report the number of requests of each account that started to run in a usage window."""

    async def order_engines(
        self, proof: DutyProof, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Set the ordered number of engines of a kind.

        :returns: whether the engines are available
        """
