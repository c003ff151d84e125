"""What a daemon knows of another daemon, or of another zone, from the last report or summary."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitpath.gateway.report_merge import CounterBaseline, PieceOrder, Renewals

Loads = Mapping[str, tuple[int, int]]
"""Number of running requests and number of prompt tokens that wait for prefill, by engine id."""

Prompts = list[tuple[str, list[tuple[str, int]]]]
"""Recently sent prompts: engine id, and the id and number of tokens of each shared prompt part."""

STATEMENT_S = 1.2
"""Time for which a daemon's statement of whom it hears counts: three report intervals."""


@dataclass(slots=True)
class PeerState:
    """State of another daemon from its reports; see `PeerReport` for the other fields.

    :ivar order: sequence number of the daemon's last report, and the pieces of it that came
    :ivar received_at_s: loop time at which the last report was received
    :ivar clock_offset_s: difference between that daemon's clock and this daemon's clock
    :ivar prompts: prompts in the pieces of the last report
    :ivar takes_pieces: whether the daemon's build takes reports in pieces
    """

    order: PieceOrder = field(default_factory=PieceOrder)
    received_at_s: float = 0.0
    configuration_revision: int = 0
    configuration_version: int = 0
    clock_offset_s: float = 0.0
    quota_used: CounterBaseline = field(default_factory=CounterBaseline)
    usage: dict[int, dict[str, int]] = field(default_factory=dict)
    prefill_tokens: CounterBaseline = field(default_factory=CounterBaseline)
    loads: Loads = field(default_factory=dict)
    renewed_loads: Renewals = field(default_factory=Renewals)
    prompts: Prompts = field(default_factory=list)
    fresh: bool = False
    engines_revision: int = 0
    read_speeds: Mapping[str, float] = field(default_factory=dict)
    renewed_read_speeds: Renewals = field(default_factory=Renewals)
    takes_pieces: bool = False

    @property
    def sequence(self) -> int:
        """Sequence number of the daemon's last report, -1 before the first."""
        return self.order.sequence


@dataclass(slots=True)
class ZoneState:
    """State of another zone from its summaries; see `ZoneSummary` for the other fields.

    :ivar aggregator: name and incarnation of the daemon that sent the last summary
    :ivar order: sequence number of the last summary, and the pieces of it that came
    :ivar received_at_s: loop time at which the last summary was received
    :ivar members: name and incarnation of each daemon that the summaries list
    :ivar takes_pieces: whether all daemons of the zone take summaries in pieces
    """

    aggregator: tuple[str, int] = ("", 0)
    order: PieceOrder = field(default_factory=PieceOrder)
    received_at_s: float = float("-inf")
    members: Mapping[tuple[str, int], None] = field(default_factory=dict)
    renewed_members: Renewals = field(default_factory=Renewals)
    configuration_revision: int = 0
    configuration_version: int = 0
    quota_used: CounterBaseline = field(default_factory=CounterBaseline)
    prefill_tokens: CounterBaseline = field(default_factory=CounterBaseline)
    loads: Loads = field(default_factory=dict)
    renewed_loads: Renewals = field(default_factory=Renewals)
    engines_revision: int = 0
    takes_pieces: bool = False

    @property
    def sequence(self) -> int:
        """Sequence number of the last summary, -1 before the first."""
        return self.order.sequence

    def follows(
        self, aggregator: tuple[str, int], members: Collection[tuple[str, int]], now_s: float
    ) -> bool:
        """Return whether a daemon's summary is that of the zone.

        Two parts of a zone that do not hear each other each have an aggregator. The first one is
        followed until it is silent for as long as a statement counts, so that this zone is never
        counted as hearing both. One that hears it, and precedes it, replaces it at once.

        :param members: members that the summary lists
        """
        followed = self.aggregator
        return (
            aggregator[0] == followed[0]
            or now_s - self.received_at_s > STATEMENT_S
            or (aggregator[0] < followed[0] and followed in members)
        )

    def begin(self, aggregator: tuple[str, int]) -> None:
        """Follow an aggregator, whose sequence numbers and counters are its own."""
        self.aggregator = aggregator
        self.order = PieceOrder()
        self.quota_used, self.prefill_tokens = CounterBaseline(), CounterBaseline()
        self.renewed_members.clear()
        self.renewed_loads.clear()


def sum_loads(loads: Iterable[Loads]) -> dict[str, tuple[int, int]]:
    """Return running requests and waiting prompt tokens by engine id, summed over daemons."""
    total_loads: dict[str, tuple[int, int]] = {}
    for daemon_loads in loads:
        for engine_id, (running, prompt_tokens) in daemon_loads.items():
            previous = total_loads.get(engine_id, (0, 0))
            total_loads[engine_id] = (previous[0] + running, previous[1] + prompt_tokens)
    return total_loads
