"""Log lines of decisions: one JSON object per line, rate-limited and written without blocking.

Each kind of line has a limit per second. Lines over the limit are counted, and the count is added
to the next line of the kind. Lines are dropped and counted when the reader of standard output does
not keep up. A line that would be too long has less of its long values.
"""

from __future__ import annotations

import errno
import os
import time
from dataclasses import dataclass
from typing import Any

import eliot
import eliot.json

from godwitpath.security.redact import redact
from godwitpath.telemetry.line_size import encode_message

MAX_LINES_PER_S = 40
"""Maximum number of lines of one kind per second.

It is twice the number of requests per second that a daemon serves on the busiest day.
"""

MAX_LINE_BYTES = 4096
"""Maximum size of a line; a pipe accepts a write of this size whole or not at all."""


@dataclass(slots=True)
class _LineCount:
    """Lines of one kind: number written in a second, and number suppressed since the last line.

    :ivar second: the second, on the monotonic clock, in which `written` lines were written
    """

    second: int = 0
    written: int = 0
    suppressed: int = 0


class LineSink:
    """Writes lines to a file descriptor without blocking.

    :ivar dropped_lines: number of lines that could not be written
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = encode_message(message, MAX_LINE_BYTES - 1) + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError as error:
            # The reader is slow or has closed the pipe; requests must not wait for it.
            self.dropped_lines += 1
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise


_line_counts: dict[str, _LineCount] = {}


def start_decision_log(descriptor: int, **fields: str) -> LineSink:
    """Write all further decisions to a file descriptor.

    :param fields: fields added to every line, such as the daemon's name
    """
    eliot.add_global_fields(**fields)
    line_sink = LineSink(descriptor)
    eliot.add_destinations(line_sink)
    return line_sink


def decision(kind: str, **inputs: Any) -> None:
    """Write a line for a decision, unless the lines of the kind reached this second's limit.

    :param kind: kind of decision, the line's message type
    :param inputs: the request's id, the inputs of the decision with their age or version, and the
        outcome
    """
    count = _line_counts.setdefault(kind, _LineCount())
    second = int(time.monotonic())
    if second != count.second:
        count.second = second
        count.written = 0
    if count.written >= MAX_LINES_PER_S:
        count.suppressed += 1
        return
    count.written += 1
    if count.suppressed:
        inputs["left_out"], count.suppressed = count.suppressed, 0
    eliot.log_message(kind, **redact(inputs))
