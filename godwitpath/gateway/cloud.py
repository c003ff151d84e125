"""Port of the platform's cloud API."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class DutyProof:
    """What shows that a call comes from the holder of a duty.

    :ivar token: fencing token, greater than that of every holder before
    """

    holder: str
    token: int


class CloudRefused(GodwitpathError):
    """Nothing was done."""


class CloudUncertain(GodwitpathError):
    """The answer was lost; the call may have been carried out, or may be yet."""


class FencedOff(GodwitpathError):
    """A later holder of the duty has called."""


class Cloud(Protocol):
    """The calls."""

    async def report_usage(
        self, proof: DutyProof, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report the requests of each account that began to run in a window."""

    async def order_engines(
        self, proof: DutyProof, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Order engines; returns whether they are to be had."""
