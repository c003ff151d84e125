"""Interface of the platform's cloud API.

The holder of the duties is the daemon that does the tasks of the whole deployment under a lease.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class FencingToken:
    """Shows the platform that a call comes from the daemon that holds the duties.

    :ivar holder: name of the daemon that holds the duties
    :ivar number: number of this holder, greater than the numbers of all previous holders
    :ivar is_valid: returns whether the holder still holds the duties
    """

    holder: str
    number: int
    is_valid: Callable[[], bool] = field(default=lambda: True, compare=False)


class CloudRefused(GodwitpathError):
    """The platform refused the call and did nothing."""


class CloudUncertain(GodwitpathError):
    """The response was lost; the platform may have carried out the call, or may do so later."""


class FencedOff(GodwitpathError):
    """The platform refused the call because a later holder of the duties has already called."""


class Cloud(Protocol):
    """Calls to the cloud API that need a fencing token."""

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report how many requests of each account started to run in a usage window.

        :param window: number of the usage window
        :param requests: number of requests by account
        """

    async def order_engines(
        self, fencing_token: FencingToken, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Set the number of a service's engines that the platform should run in a zone.

        :param reclaimable: whether the number is that of reclaimable or that of on-demand engines
        :returns: whether engines of this kind are available
        """
