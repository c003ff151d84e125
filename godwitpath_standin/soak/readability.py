"""Checks in the logs of a soak that daemons can read what other daemons wrote."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

from godwitpath_standin.soak.history import Violation

UNREADABLE_KINDS = frozenset(
    {
        "datagram_unreadable",
        "duty_holder_unreadable",
        "member_unreadable",
        "pull_unreadable",
        "quarantine_unreadable",
        "usage_state_unreadable",
    }
)
"""Kinds of log lines on what daemons write: messages, and items of the store."""


def unreadable_messages(folder: Path) -> Iterator[Violation]:
    """Yield a violation for each daemon and kind of message that the daemon could not read.

    :param folder: folder with the logs of the daemons
    """
    for path in sorted(folder.glob("*.log")):
        reported_kinds: set[str] = set()
        for line in path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                # The check of refusals reports lines that cannot be decoded.
                continue
            kind = entry.get("message_type")
            if kind in UNREADABLE_KINDS and kind not in reported_kinds:
                reported_kinds.add(kind)
                yield Violation("readable", f"{path.stem}: {line[:200]}")
