"""Sends the reports of pinned usage windows, each until the platform has accepted it.

The reports of several windows are under way at once, since one without a response takes seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from godwitpath.gateway.cloud import Cloud, CloudRefused, CloudUncertain, FencedOff
from godwitpath.gateway.holder import DutyHolder
from godwitpath.telemetry.decisions import decision

RETRY_INTERVAL_S = 0.5
"""Shortest time between the starts of two calls of the store or the cloud API, the first of which
failed: one that waited for a response for longer is repeated at once."""


async def pause_before_retry(started_at_s: float) -> None:
    """Wait until a failed call may be repeated.

    :param started_at_s: loop time at which the call began
    """
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, started_at_s + RETRY_INTERVAL_S - now_s))


class PinnedReports:
    """The pinned windows whose reports the platform may not have accepted yet.

    :ivar accepted: number of reports that were accepted
    """

    __slots__ = ("_cloud", "_holder", "_in_flight", "_pending", "accepted")

    def __init__(self, cloud: Cloud, holder: DutyHolder) -> None:
        self.accepted = 0
        self._cloud = cloud
        self._holder = holder
        self._pending: dict[int, Mapping[str, int]] = {}
        self._in_flight: set[int] = set()

    @property
    def pending(self) -> Mapping[int, Mapping[str, int]]:
        """Counts of the windows to report, by window."""
        return self._pending

    def replace(self, pending: Mapping[int, Mapping[str, int]]) -> None:
        """Report these windows, and no longer any others.

        :param pending: final counts by window
        """
        self._pending = dict(pending)

    def start(self, token_number: int, group: asyncio.TaskGroup) -> None:
        """Start the reports that are not under way.

        :param token_number: fencing token of the term in which the windows were pinned or loaded
        """
        for window in self._pending.keys() - self._in_flight:
            self._in_flight.add(window)
            group.create_task(self._report(window, token_number))

    async def _report(self, window: int, token_number: int) -> None:
        started_at_s = asyncio.get_running_loop().time()
        try:
            await self._call(window, token_number)
        except FencedOff as error:
            decision("usage_fenced_off", fence=token_number, reason=str(error))
            held = self._holder.fencing_token()
            if held is not None and held.number == token_number:
                self._holder.mark_fenced_off()
        except (CloudRefused, CloudUncertain) as error:
            decision("usage_delayed", fence=token_number, window=window, reason=str(error))
            await pause_before_retry(started_at_s)
        finally:
            self._in_flight.discard(window)

    async def _call(self, window: int, token_number: int) -> None:
        held = self._holder.fencing_token()
        counts = self._pending.get(window)
        if counts is None or held is None or held.number != token_number:
            return
        fencing_token = self._holder.begin_call()
        if fencing_token is None:
            return
        await self._cloud.report_usage(fencing_token, window, counts)
        if self._pending.get(window) is counts:
            del self._pending[window]
        self.accepted += 1
        decision("usage_reported", window=window, requests=counts, fence=fencing_token.number)
