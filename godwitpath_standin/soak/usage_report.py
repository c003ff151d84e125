"""Compares the usage that a soak's daemons reported with the runs of its engines."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

from godwitpath_standin.soak.history import History

USAGE_WINDOW_S = 5
"""Length of a usage window."""

USAGE_LATE_S = 10.0
"""Time from the end of a window until its report is due."""

USAGE_TOLERANCE = 0.05
"""Share by which a reported count may differ from the runs, as the users specify."""


@dataclass(slots=True)
class UsageSummary:
    """Numbers of usage windows whose reports are due.

    :ivar due: number of windows
    :ivar left_out: number of windows without a report
    :ivar off: number of windows with a count that is off by more than `USAGE_TOLERANCE`
    """

    due: int = 0
    left_out: int = 0
    off: int = 0

    def __str__(self) -> str:
        tolerance_percent = 100 * USAGE_TOLERANCE
        return (
            f"usage: of {self.due} windows {self.left_out} left out, "
            f"{self.off} off by over {tolerance_percent:.0f}%"
        )


def summarize_usage(history: History, wall_s: float, now_s: float) -> UsageSummary:
    """Return how the reports of the windows that are due compare with the engines' runs.

    :param wall_s: seconds since 1970
    :param now_s: loop time of the same moment
    """
    runs_by_window: dict[int, Counter[str]] = defaultdict(Counter)
    counted_streams: set[str] = set()
    for _, _, run in history.runs():
        sent = history.sent.get(run.request_id.decode())
        if sent is None or sent.request_id in counted_streams:
            continue
        if sent.stream:
            counted_streams.add(sent.request_id)
        window = int((wall_s - now_s + run.started_at_s) // USAGE_WINDOW_S)
        runs_by_window[window][sent.account] += 1
    # The first window has begun before the daemons.
    first = min(runs_by_window, default=0) + 1
    summary = UsageSummary()
    for window in range(first, int((wall_s - USAGE_LATE_S) // USAGE_WINDOW_S)):
        summary.due += 1
        reports = history.cloud.usage.get(window)
        if not reports:
            summary.left_out += 1
        elif any(
            abs(reports[0].get(account, 0) - count) > USAGE_TOLERANCE * count
            for account, count in runs_by_window[window].items()
        ):
            summary.off += 1
    return summary
