"""Reconstructs the trace of a request from the daemons' log lines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

CONTEXT_S = 5.0
"""Time before the first and after the last line of a request in which lines of the request's
engines and daemons are included: a leaving engine or a store outage affects requests for that
long."""

ENGINE_LINES = frozenset(
    (
        "engine_state",
        "engine_failed",
        "engine_limit",
        "engine_crashed",
        "engine_not_crashed",
        "stream_moved",
        "stream_not_moved",
    )
)
"""Kinds of log lines that concern an engine."""

DAEMON_LINES = frozenset(
    (
        "configuration_in_force",
        "store_lost",
        "store_regained",
        "readiness",
        "started",
        "stopping",
        "stopped",
        "drain_cut",
        "settings_reloaded",
    )
)
"""Kinds of log lines that concern a whole daemon."""


@dataclass(slots=True)
class LogLine:
    """One line of a log.

    :ivar at_s: timestamp, seconds since 1970
    :ivar daemon: name of the daemon that wrote the line
    :ivar kind: kind of the log line
    :ivar fields: the other fields of the line
    :ivar own: whether the line names the request itself
    """

    at_s: float
    daemon: str
    kind: str
    fields: dict[str, Any] = field(default_factory=dict)
    own: bool = True


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the daemons' log lines; skips other lines, and text before a line's JSON object."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(raw, dict) or "message_type" not in raw:
            continue
        kind, at_s = str(raw.pop("message_type")), raw.pop("timestamp", 0.0)
        daemon = str(raw.pop("daemon", ""))
        yield LogLine(float(at_s), daemon, kind, raw)


def trace_request(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and of the events that affect it, sorted by time."""
    all_lines = list(lines)
    own_lines = [line for line in all_lines if line.fields.get("request") == request_id]
    if not own_lines:
        return []
    window_start_at_s = min(line.at_s for line in own_lines) - CONTEXT_S
    window_end_at_s = max(line.at_s for line in own_lines) + CONTEXT_S
    daemons = {line.daemon for line in own_lines}
    engines = {line.fields.get("engine") for line in own_lines} - {None}
    context_lines = [
        LogLine(line.at_s, line.daemon, line.kind, line.fields, own=False)
        for line in all_lines
        if window_start_at_s <= line.at_s <= window_end_at_s
        and line.daemon in daemons
        and (line.kind in DAEMON_LINES or _concerns_engine(line, engines, request_id))
    ]
    return sorted([*own_lines, *context_lines], key=lambda line: line.at_s)


def _concerns_engine(line: LogLine, engines: set[Any], request_id: str) -> bool:
    """Return whether a line is about one of the engines, but not about the request itself."""
    return (
        line.kind in ENGINE_LINES
        and line.fields.get("engine") in engines
        and line.fields.get("request") != request_id
    )
