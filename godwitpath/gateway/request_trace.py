"""Reconstructs the trace of a request from the daemons' log lines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

CONTEXT_S = 5.0
"""Time before a request's first line and after its last in which lines of its engines and daemons
are included: a leaving engine or a store outage affects requests for that long."""

ENGINE_LINES = frozenset(("engine_state", "engine_failed", "stream_moved", "stream_not_moved"))
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


@dataclass(slots=True)
class LogLine:
    """One line of a log.

    :ivar at_s: timestamp, seconds since 1970
    :ivar daemon: name of the daemon that wrote the line
    :ivar kind: kind of the log line
    :ivar fields: the remaining fields
    :ivar own: whether the line names the request itself
    """

    at_s: float
    daemon: str
    kind: str
    fields: dict[str, Any] = field(default_factory=dict)
    own: bool = True


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the daemons' lines; skips text before the JSON object, such as a timestamp."""
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
    own = [line for line in all_lines if line.fields.get("request") == request_id]
    if not own:
        return []
    first_s = min(line.at_s for line in own) - CONTEXT_S
    last_s = max(line.at_s for line in own) + CONTEXT_S
    daemons = {line.daemon for line in own}
    engines = {line.fields.get("engine") for line in own} - {None}
    context = [
        LogLine(line.at_s, line.daemon, line.kind, line.fields, own=False)
        for line in all_lines
        if first_s <= line.at_s <= last_s
        and line.daemon in daemons
        and (line.kind in DAEMON_LINES or _concerns_engine(line, engines, request_id))
    ]
    return sorted([*own, *context], key=lambda line: line.at_s)


def _concerns_engine(line: LogLine, engines: set[Any], request_id: str) -> bool:
    """Return whether a line is about one of the engines, but not about the request itself."""
    return (
        line.kind in ENGINE_LINES
        and line.fields.get("engine") in engines
        and line.fields.get("request") != request_id
    )
