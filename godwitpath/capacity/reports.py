"""The work of all entries, as they report it to the holder of a capacity duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.capacity.demand import WorkRate, total
from godwitpath.duties.duty import Duty
from godwitpath.membership.member import Member
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport
from godwitpath.ranking import rank

KEEP_S = 10.0
"""Age from which a report counts no more."""

REPORT_INTERVAL_S = 3.0
"""Time between an entry's reports; two may be lost."""


@peer_message
class DemandReport(PeerMessage):
    """Tells what work of a service one entry sees.

    :ivar service: name of the service
    :ivar region: region whose engines do the work
    """

    service: str
    region: str
    requests_per_s: float
    computed_tokens_per_s: float
    generated_tokens_per_s: float


@dataclass(slots=True, frozen=True)
class _Heard:
    rate: WorkRate
    at_s: float


def capacity_duty(service: str, region: str) -> Duty:
    """Return the duty of a service's capacity in a region."""
    return Duty("capacity", f"{service}@{region}")


class DemandBook:
    """What the entries reported lately."""

    def __init__(self) -> None:
        self._heard: dict[Duty, dict[str, _Heard]] = {}
        self._since_s: dict[Duty, float] = {}

    def register(self, transport: PeerTransport) -> None:
        """Take in the reports that come over a transport."""

        async def heard(sender: str, report: DemandReport) -> None:
            self.note(sender, report)

        transport.handle(DemandReport, heard)

    def note(self, entry_id: str, report: DemandReport) -> None:
        """Take in a report; a newer one replaces an older one of the same entry."""
        rate = WorkRate(
            report.requests_per_s, report.computed_tokens_per_s, report.generated_tokens_per_s
        )
        duty = capacity_duty(report.service, report.region)
        by_entry = self._heard.setdefault(duty, {})
        self._drop_old(duty)
        if not by_entry:
            self._since_s[duty] = _now_s()
        by_entry[entry_id] = _Heard(rate, _now_s())

    def total(self, duty: Duty) -> WorkRate:
        """Return the work of all entries that reported lately."""
        self._drop_old(duty)
        return total(heard.rate for heard in self._heard.get(duty, {}).values())

    def known(self, duty: Duty) -> bool:
        """Return whether every entry had the time to report."""
        self._drop_old(duty)
        long_enough = _now_s() - self._since_s.get(duty, _now_s()) >= KEEP_S
        return long_enough and bool(self._heard.get(duty))

    def _drop_old(self, duty: Duty) -> None:
        by_entry = self._heard.get(duty, {})
        oldest_s = _now_s() - KEEP_S
        for entry_id in [name for name, heard in by_entry.items() if heard.at_s < oldest_s]:
            del by_entry[entry_id]


def rollout_duty(region: str) -> Duty:
    """Return the duty of the rollout in a region, whose holder needs the demand too."""
    return Duty("rollout", region)


async def send_reports(
    local: Member,
    live: Callable[[], list[Member]],
    transport: PeerTransport,
    book: DemandBook,
    reports: Callable[[], list[DemandReport]],
) -> None:
    """Send this entry's reports to those that may hold the duties, until cancelled.

    These are the first and the second in rank: the second may stand in, and then knows the demand.
    """
    while True:
        for report in reports():
            for entry_id in _receivers(report, live()):
                if entry_id == local.entry_id:
                    book.note(entry_id, report)
                elif report.requests_per_s:
                    # A holder takes silence for no work; its own report shows that it listens.
                    await transport.send(entry_id, report)
        await asyncio.sleep(REPORT_INTERVAL_S)


def _receivers(report: DemandReport, live: list[Member]) -> set[str]:
    duties = (capacity_duty(report.service, report.region), rollout_duty(report.region))
    ranked = (rank(duty.store_key, live, lambda each: each.entry_id)[:2] for duty in duties)
    return {member.entry_id for members in ranked for member in members}


def _now_s() -> float:
    return asyncio.get_running_loop().time()
