"""Reads from the logs of a soak's daemons when their event loops were held."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path

from godwitpath_standin.soak.history import LoopHold

DESCRIBED_WAIT_S = 0.2
"""Shortest time without a processor that the report of a soak names."""


def read_loop_holds(folder: Path) -> Iterator[LoopHold]:
    """Yield the holds that the daemons logged.

    :param folder: folder with the logs of the daemons
    """
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if '"loop_held"' not in line:
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                # The check of refusals reports lines that cannot be decoded.
                continue
            if entry.get("message_type") == "loop_held":
                own_work = entry["cause"] == "work"
                yield LoopHold(path.stem, entry["held_s"], own_work, entry["timestamp"])


def describe_waits(holds: Iterable[LoopHold], began_at_s: float) -> Iterator[str]:
    """Yield a line for each time at which a daemon had no processor for long, in order.

    :param began_at_s: seconds since 1970 from which the lines count
    """
    waits = [hold for hold in holds if not hold.own_work and hold.held_s >= DESCRIBED_WAIT_S]
    for hold in sorted(waits, key=lambda hold: hold.ended_at_s):
        from_s = hold.ended_at_s - began_at_s - hold.held_s
        yield f"{from_s:7.2f} s  {hold.daemon} had no processor for {hold.held_s:.2f} s"
