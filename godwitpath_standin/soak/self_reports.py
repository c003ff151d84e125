"""Records what the daemons of a soak state about themselves: their datagrams, and their loops."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass

from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.soak.environment import Daemon, SoakEnvironment
from godwitpath_standin.soak.history import SelfReport

REPORT_POLL_S = 1.0
"""Interval at which the daemons are asked; what one did after the last time is not known once its
process has ended."""

REPORT_TIMEOUT_S = 0.8


async def record_self_reports(environment: SoakEnvironment) -> None:
    """Record the latest statement of each process of a daemon until cancelled."""
    while True:
        await asyncio.gather(*(_record(environment, daemon) for daemon in environment.daemons))
        await asyncio.sleep(REPORT_POLL_S)


async def _record(environment: SoakEnvironment, daemon: Daemon) -> None:
    process = daemon.process
    if process is None:
        return
    *_, metrics_port = daemon.ports
    try:
        response = await ask(metrics_port, "/admin/state", key="", timeout_s=REPORT_TIMEOUT_S)
    except (OSError, TimeoutError):
        # The daemon is suspended, or is being restarted.
        return
    if response.status == 200 and response.complete and process is daemon.process:
        report = decode_self_report(response.body)
        if report is not None:
            environment.history.self_reports[daemon.name, process.pid] = report


def decode_self_report(body: bytes) -> SelfReport | None:
    """Return what a daemon's state says, None for one of a build that does not say so."""
    state = json.loads(body)
    if "datagrams" not in state or "loop_longest_s" not in state:
        return None
    return SelfReport(
        largest_datagram_bytes=state["datagrams"]["largest_bytes"],
        unsent_datagrams=state["datagrams"]["not_sent"],
        longest_work_s=state["loop_longest_s"]["work"],
    )


@dataclass(slots=True)
class SelfReportSummary:
    """What all daemons of a soak stated together.

    :ivar largest_datagram_bytes: size of the largest datagram to another daemon, sent or not
    :ivar unsent_datagrams: number of datagrams that were too large to be sent
    :ivar longest_work_s: longest turn of an event loop by a daemon's own work
    """

    largest_datagram_bytes: int = 0
    unsent_datagrams: int = 0
    longest_work_s: float = 0.0

    def __str__(self) -> str:
        return (
            f"datagrams up to {self.largest_datagram_bytes / 1000:.1f} kB, "
            f"{self.unsent_datagrams} not sent; "
            f"loops held up to {1000 * self.longest_work_s:.0f} ms by own work"
        )


def summarize_self_reports(reports: Iterable[SelfReport]) -> SelfReportSummary:
    """Return the largest figures, and the sum of the counts, of some statements."""
    summary = SelfReportSummary()
    for report in reports:
        summary.largest_datagram_bytes = max(
            summary.largest_datagram_bytes, report.largest_datagram_bytes
        )
        summary.unsent_datagrams += report.unsent_datagrams
        summary.longest_work_s = max(summary.longest_work_s, report.longest_work_s)
    return summary
