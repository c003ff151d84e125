"""Log lines of decisions: one JSON object a line, bounded in number, never waited for.

Each kind of line may be written so often a second; what goes beyond is counted and the count is
added to the next line of the kind. Lines that the reader of standard output does not take are
dropped, and counted too.
"""

from __future__ import annotations

import errno
import os
import time
from dataclasses import dataclass
from typing import Any

import eliot
import eliot.json
import msgspec

from godwitpath.security.redact import redact

LINES_PER_S = 40
"""Lines of one kind a second: a daemon's share of requests at the heaviest day, twice over."""

MAX_LINE_BYTES = 4096
"""Longest line; a pipe takes as many bytes whole or not at all."""


@dataclass(slots=True)
class _Kind:
    second: int = 0
    written: int = 0
    left_out: int = 0


class LineSink:
    """Writes lines to a file descriptor without ever waiting for its reader.

    :ivar dropped: lines that the reader did not take
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - 2] + b"~\n"
        try:
            os.write(self._descriptor, line)
        except OSError as error:
            # The reader is behind or gone; requests do not wait for it.
            self.dropped += 1
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise


_kinds: dict[str, _Kind] = {}


def start_decisions(descriptor: int, **fields: str) -> LineSink:
    """Write decisions to a file descriptor from now on.

    :param fields: added to every line, such as the daemon's name
    """
    eliot.add_global_fields(**fields)
    sink = LineSink(descriptor)
    eliot.add_destinations(sink)
    return sink


def decision(kind: str, **inputs: Any) -> None:
    """Write a line for a decision.

    :param kind: what was decided
    :param inputs: the request's id, what decided it with its age or version, and the outcome
    """
    state = _kinds.setdefault(kind, _Kind())
    second = int(time.monotonic())
    if second != state.second:
        state.second = second
        state.written = 0
    if state.written >= LINES_PER_S:
        state.left_out += 1
        return
    state.written += 1
    if state.left_out:
        inputs["left_out"], state.left_out = state.left_out, 0
    eliot.log_message(kind, **redact(inputs))
