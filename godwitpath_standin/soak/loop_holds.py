"""Reads from the logs of a soak's daemons for how long their own work held their event loops."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

from godwitpath_standin.soak.history import LoopHold


def read_loop_holds(folder: Path) -> Iterator[LoopHold]:
    """Yield the holds by own work that the daemons logged.

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
            if entry.get("message_type") == "loop_held" and entry["cause"] == "work":
                yield LoopHold(path.stem, entry["held_s"])
