"""What a daemon knows of another daemon, or of another zone, from the last report or summary."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

Loads = Mapping[str, tuple[int, int]]
"""Number of running requests and number of prompt tokens that wait for prefill, by engine id."""

Prompts = list[tuple[str, list[tuple[str, int]]]]
"""Recently sent prompts: engine id, and the id and number of tokens of each shared prompt part."""

STATEMENT_S = 1.2
"""Time for which a daemon's statement of whom it hears counts: three report intervals."""


@dataclass(slots=True)
class PeerState:
    """State of another daemon from its reports; see `PeerReport` for the other fields.

    :ivar sequence: sequence number of the daemon's last report, -1 before the first
    :ivar received_at_s: loop time at which the last report was received
    :ivar clock_offset_s: difference between that daemon's clock and this daemon's clock
    """

    sequence: int = -1
    received_at_s: float = 0.0
    configuration_revision: int = 0
    configuration_version: int = 0
    clock_offset_s: float = 0.0
    quota_used: Mapping[str, int] = field(default_factory=dict)
    usage: dict[int, dict[str, int]] = field(default_factory=dict)
    prefill_tokens: Mapping[str, int] = field(default_factory=dict)
    loads: Loads = field(default_factory=dict)
    prompts: Prompts = field(default_factory=list)
    fresh: bool = False
    engines_revision: int = 0
    read_speeds: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ZoneState:
    """State of another zone from its summaries; see `ZoneSummary` for the other fields.

    :ivar aggregator: name and incarnation of the daemon that sent the last summary
    :ivar sequence: sequence number of the last summary, -1 before the first
    :ivar received_at_s: loop time at which the last summary was received
    """

    aggregator: tuple[str, int] = ("", 0)
    sequence: int = -1
    received_at_s: float = float("-inf")
    members: list[tuple[str, int]] = field(default_factory=list)
    configuration_revision: int = 0
    configuration_version: int = 0
    quota_used: Mapping[str, int] = field(default_factory=dict)
    prefill_tokens: Mapping[str, int] = field(default_factory=dict)
    loads: Loads = field(default_factory=dict)
    engines_revision: int = 0


def sum_loads(loads: Iterable[Loads]) -> dict[str, tuple[int, int]]:
    """Return running requests and waiting prompt tokens by engine id, summed over daemons."""
    total_loads: dict[str, tuple[int, int]] = {}
    for daemon_loads in loads:
        for engine_id, (running, prompt_tokens) in daemon_loads.items():
            previous = total_loads.get(engine_id, (0, 0))
            total_loads[engine_id] = (previous[0] + running, previous[1] + prompt_tokens)
    return total_loads
