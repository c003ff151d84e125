"""Demand reports that the entries send to the holders of the capacity and rollout duties.

A duty is a task that one entry, its holder, runs under a lease for all entries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.capacity.demand import WorkRate, total_rate
from godwitpath.duties.duty import Duty
from godwitpath.membership.member import Member
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport
from godwitpath.ranking import rank

REPORT_MAX_AGE_S = 10.0
"""Age at which a demand report expires."""

REPORT_INTERVAL_S = 3.0
"""Time between an entry's demand reports.

Two reports in a row may be lost before the previous one expires.
"""


@peer_message
class DemandReport(PeerMessage):
    """Reports the load of a service that one entry measures.

    :ivar service: name of the service
    :ivar region: region of the engines that serve the load
    :ivar requests_per_s: requests per second, including refused ones
    :ivar computed_tokens_per_s: prompt tokens per second that were not in a KV cache
    :ivar generated_tokens_per_s: output tokens per second
    """

    service: str
    region: str
    requests_per_s: float
    computed_tokens_per_s: float
    generated_tokens_per_s: float


@dataclass(slots=True, frozen=True)
class _ReceivedReport:
    rate: WorkRate
    recorded_at_s: float


def capacity_duty(service: str, region: str) -> Duty:
    """Return the duty that manages the capacity of a service in a region."""
    return Duty("capacity", f"{service}@{region}")


class DemandTable:
    """Holds the latest unexpired demand report of each entry, by capacity duty."""

    def __init__(self) -> None:
        self._reports: dict[Duty, dict[str, _ReceivedReport]] = {}
        self._first_report_at_s: dict[Duty, float] = {}

    def register(self, transport: PeerTransport) -> None:
        """Register the handler for demand reports on a transport."""

        async def receive(sender: str, report: DemandReport) -> None:
            self.note(sender, report)

        transport.register_handler(DemandReport, receive)

    def note(self, entry_id: str, report: DemandReport) -> None:
        """Store a report in place of the previous one of the same entry."""
        rate = WorkRate(
            report.requests_per_s, report.computed_tokens_per_s, report.generated_tokens_per_s
        )
        duty = capacity_duty(report.service, report.region)
        by_entry = self._reports.setdefault(duty, {})
        self._drop_expired(duty)
        if not by_entry:
            self._first_report_at_s[duty] = _now_s()
        by_entry[entry_id] = _ReceivedReport(rate, _now_s())

    def total_rate(self, duty: Duty) -> WorkRate:
        """Return the sum of all entries' unexpired reports for a capacity duty."""
        self._drop_expired(duty)
        return total_rate(received.rate for received in self._reports.get(duty, {}).values())

    def is_known(self, duty: Duty) -> bool:
        """Return whether the load is known.

        It is known once reports have arrived for so long that every entry had time to send one.
        """
        self._drop_expired(duty)
        long_enough = _now_s() - self._first_report_at_s.get(duty, _now_s()) >= REPORT_MAX_AGE_S
        return long_enough and bool(self._reports.get(duty))

    def _drop_expired(self, duty: Duty) -> None:
        by_entry = self._reports.get(duty, {})
        oldest_valid_s = _now_s() - REPORT_MAX_AGE_S
        for entry_id in [
            name for name, received in by_entry.items() if received.recorded_at_s < oldest_valid_s
        ]:
            del by_entry[entry_id]


def rollout_duty(region: str) -> Duty:
    """Return the rollout duty of a region, whose holder receives the demand reports as well."""
    return Duty("rollout", region)


async def send_reports(
    local: Member,
    live: Callable[[], list[Member]],
    transport: PeerTransport,
    table: DemandTable,
    reports: Callable[[], list[DemandReport]],
) -> None:
    """Send this entry's reports to the possible holders of the duties until cancelled.

    The possible holders of a duty are the first and the second entry in its ranking. The second
    takes over when the first fails, and must know the demand then.

    :param local: this entry
    :param live: returns the live entries
    :param table: receives the reports of this entry if it is a possible holder itself
    :param reports: returns the current reports of this entry
    """
    while True:
        for report in reports():
            for entry_id in _receivers(report, live()):
                if entry_id == local.entry_id:
                    table.note(entry_id, report)
                elif report.requests_per_s:
                    # A missing report counts as no load, so zeros are not sent. A possible
                    # holder stores its own zeros, so that the demand becomes known without load.
                    await transport.send(entry_id, report)
        await asyncio.sleep(REPORT_INTERVAL_S)


def _receivers(report: DemandReport, live: list[Member]) -> set[str]:
    duties = (capacity_duty(report.service, report.region), rollout_duty(report.region))
    ranked = (rank(duty.store_key, live, lambda each: each.entry_id)[:2] for duty in duties)
    return {member.entry_id for members in ranked for member in members}


def _now_s() -> float:
    return asyncio.get_running_loop().time()
