"""State of the other daemons, from their own reports and from the summaries of other zones.

The duty holder is the daemon that does the tasks of the whole deployment under a lease.

In a small deployment all daemons report to one another. In a large fleet daemons report within
their availability zone and to the duty holder, and one daemon of each zone, the zone's aggregator,
sends summaries of the zone to the other zones.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Mapping

from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import PeerLoad
from godwitpath.gateway.holder_entry import known_holder
from godwitpath.gateway.members import Members
from godwitpath.gateway.mutual_hearing import HearingStatements, widely_heard
from godwitpath.gateway.peer_hearing import PeerHearing
from godwitpath.gateway.peer_messages import PeerReport, ZoneSummary
from godwitpath.gateway.peer_state import STATEMENT_S, Loads, PeerState, Prompts, ZoneState
from godwitpath.gateway.read_speed import common_speed
from godwitpath.gateway.usage import agreed_correction_s
from godwitpath.gateway.usage_store import CountsByIncarnation
from godwitpath.gateway.wire_fields import PromptPart
from godwitpath.telemetry.decisions import decision

MESH_MAX = 12
"""Largest number of daemons, including this one, that report in a full mesh: beyond it, the reports
would take more than one percent of the smallest daemon's core and link."""

WATCHERS_PER_ZONE = 2
"""Daemons of each zone that watch the store in a large fleet: one of them may fail."""

REPORT_TIMEOUT_S = 1.6
"""Time without a report after which a daemon counts as silent, in seconds: four report
intervals."""

RETENTION_S = 30.0
"""Time without a report after which the counts of a silent daemon are dropped. The duty holder has
reported the usage of that daemon by then."""

CLOCK_TOLERANCE_S = 0.5
"""Difference to the median of the daemons' clocks beyond which this daemon corrects its clock."""


class PeerView:
    """Tracks the state of the other daemons.

    :param incarnation: random number of this daemon's incarnation
    :ivar states: state of each daemon that reports directly, by name and incarnation
    :ivar zones: state of each other zone by name, from zone summaries in a large fleet
    :ivar zone_quota_used: quota units that the other daemons of the local zone have admitted, by
        account, counted since this daemon's start
    :ivar zone_prefill_tokens: prompt tokens that the other daemons of the local zone have sent for
        prefill, by service, counted since this daemon's start
    :ivar statements: whom the daemons state to hear
    :ivar hearing: with whom this daemon is in contact both ways
    :ivar reported_holder: name and fencing token of the duty holder with the greatest fencing token
        in any report
    """

    def __init__(self, ctx: GatewayContext, members: Members, incarnation: int) -> None:
        self.states: dict[tuple[str, int], PeerState] = {}
        self.zones: dict[str, ZoneState] = {}
        self.zone_quota_used: Counter[str] = Counter()
        self.zone_prefill_tokens: Counter[str] = Counter()
        self.reported_holder: tuple[str, int] = ("", 0)
        self.statements = HearingStatements(STATEMENT_S)
        self.hearing = PeerHearing(ctx.settings.name, ctx.settings.zone, members, self)
        self._other_zones_prefill_tokens: Counter[str] = Counter()
        # Loop time of the last summary that listed each incarnation of another zone's daemons.
        self._in_summary_at_s: dict[tuple[str, int], float] = {}
        self._ctx = ctx
        self._members = members
        self._incarnation = incarnation
        self._loop = asyncio.get_running_loop()

    @property
    def full_mesh(self) -> bool:
        """Whether all daemons report to one another directly."""
        return len(self._members.entries) < MESH_MAX

    def uses_reports_of(self, name: str) -> bool:
        """Return whether a daemon's load is taken from its own reports, not from a summary."""
        entry = self._members.entries.get(name)
        return self.full_mesh or entry is None or entry.zone == self._ctx.settings.zone

    def reporting(self) -> set[str]:
        """Return the names of the daemons that recently reported, directly or in a zone summary."""
        since_at_s = self._loop.time() - REPORT_TIMEOUT_S
        names = {
            name for (name, _), state in self.states.items() if state.received_at_s >= since_at_s
        }
        for zone in self.zones_heard().values():
            names.update(name for name, _ in zone.members)
        names.discard(self._ctx.settings.name)
        return names

    def zones_heard(self) -> dict[str, ZoneState]:
        """Return the state of each other zone whose summary was recently received, by name."""
        since_at_s = self._loop.time() - REPORT_TIMEOUT_S
        return {name: zone for name, zone in self.zones.items() if zone.received_at_s >= since_at_s}

    def known_daemons(self) -> set[str]:
        """Return the names of all daemons that are registered or report, including this one."""
        return {self._ctx.settings.name} | self._members.entries.keys() | self.reporting()

    def reporting_directly(self) -> dict[str, PeerState]:
        """Return the state of each daemon whose own report was recently received, by name."""
        since_at_s = self._loop.time() - REPORT_TIMEOUT_S
        return {
            name: state
            for (name, _), state in self.states.items()
            if state.received_at_s >= since_at_s
        }

    def reporting_in_zone(self) -> list[tuple[tuple[str, int], PeerState]]:
        """Return name and incarnation, and state, of each daemon whose load its own reports tell.

        Those whose last report is old are not among them.
        """
        since_at_s = self._loop.time() - REPORT_TIMEOUT_S
        return [
            (key, state)
            for key, state in self.states.items()
            if state.received_at_s >= since_at_s and self.uses_reports_of(key[0])
        ]

    def aggregator(self) -> str:
        """Return the name of the local zone's aggregator.

        It is the first by name of the reporting daemons that half of the others hear.
        """
        own_name, zone = self._ctx.settings.name, self._ctx.settings.zone
        names = [
            name
            for name in self.reporting_directly()
            if (entry := self._members.entries.get(name)) is not None and entry.zone == zone
        ]
        names.append(own_name)
        return min(widely_heard(names, self.hearing.stated) or names)

    def watchers(self) -> list[str]:
        """Return the names of the local zone's other daemons that watch the store, sorted."""
        zone = self._ctx.settings.zone
        return sorted(
            name
            for name, state in self.reporting_directly().items()
            if state.fresh
            and (entry := self._members.entries.get(name)) is not None
            and entry.zone == zone
        )

    def should_watch(self) -> bool:
        """Return whether this daemon has to watch the store itself.

        In a large fleet :data:`WATCHERS_PER_ZONE` daemons of each zone watch it: the first by name
        that can reach the store.
        """
        if self.full_mesh:
            return True
        earlier_watchers = [name for name in self.watchers() if name < self._ctx.settings.name]
        return len(earlier_watchers) < WATCHERS_PER_ZONE

    def report_age_s(self, name: str, incarnation: int) -> float | None:
        """Return the time since the last report of a daemon's incarnation.

        :returns: seconds; None if no report was received; infinite if the daemon has since
            restarted, or hears less than half of the others; zero if this daemon itself appears to
            be cut off, because it is in contact both ways with less than half of them
        """
        if name == self._ctx.settings.name:
            return 0.0 if incarnation == self._incarnation else math.inf
        entry = self._members.entries.get(name)
        if entry is not None and entry.incarnation != incarnation:
            return math.inf
        others = self._members.entries.keys() - {name}
        if 2 * len(self.hearing.in_contact() & others) < len(others):
            return 0.0
        its_others = others | {self._ctx.settings.name}
        if self.statements.hears_less_than_half(name, its_others, self._loop.time()):
            return math.inf
        key = (name, incarnation)
        report_times_s = [self._in_summary_at_s[key]] if key in self._in_summary_at_s else []
        state = self.states.get(key)
        if state is not None:
            report_times_s.append(state.received_at_s)
        if entry is not None and (at_s := self.hearing.heard_by_others_at_s(name)) is not None:
            report_times_s.append(at_s)
        return self._loop.time() - max(report_times_s) if report_times_s else None

    def quota_share(self) -> float:
        """Return the fraction of each quota that this daemon and those in contact may use.

        Daemons that do not hear this one do not subtract what it admits.
        """
        return (1 + len(self.hearing.in_contact())) / len(self.known_daemons())

    def usage_counts(self) -> CountsByIncarnation:
        """Return the number of requests that each incarnation of every daemon counted as usage."""
        counts = {
            f"{name}/{incarnation}": state.usage
            for (name, incarnation), state in self.states.items()
        }
        counts[f"{self._ctx.settings.name}/{self._incarnation}"] = self._ctx.usage.counts_by_window
        return counts

    def own_read_speeds(self) -> dict[str, float]:
        """Return the speeds of prefill that this daemon has measured, by service."""
        speeds = {
            service: estimator.tokens_per_s()
            for service, estimator in self._ctx.read_speeds.items()
        }
        return {service: round(speed) for service, speed in speeds.items() if speed is not None}

    def read_speed(self, service: str) -> float:
        """Return how many prompt tokens per second an engine of a service prefills."""
        measured = [self.own_read_speeds(), *(state.read_speeds for state in self.states.values())]
        return common_speed(speeds[service] for speeds in measured if service in speeds)

    def load(self, service: str) -> tuple[int, int]:
        """Return the load of a service over all daemons.

        :returns: the number of prompt tokens sent for prefill so far, and of running requests
        """
        prefill_tokens = self._ctx.placer.prefill_tokens.get(service, 0)
        prefill_tokens += (
            self.zone_prefill_tokens[service] + self._other_zones_prefill_tokens[service]
        )
        engines = self._ctx.engines.all()
        running = sum(each.all_running for each in engines if each.entry.service == service)
        return prefill_tokens, running

    def takes_pieces(self, name: str) -> bool:
        """Return whether a daemon's build takes reports in pieces, as far as its reports say."""
        latest = max(
            (state for (each, _), state in self.states.items() if each == name),
            key=lambda state: state.received_at_s,
            default=None,
        )
        return latest is not None and latest.takes_pieces

    def apply_report(self, report: PeerReport) -> bool:
        """Apply a daemon's report; returns whether no later one of the incarnation was applied."""
        key = (report.name, report.incarnation)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = PeerState()
            decision("peer_heard", peer=report.name, incarnation=report.incarnation)
        sequence, spread_over = report.sequence, report.spread_over
        continues = sequence == state.sequence
        if not state.order.accepts(sequence, report.piece):
            return False
        state.takes_pieces = report.hears is not None
        state.received_at_s = self._loop.time()
        if not report.piece:
            self.hearing.note_report(report)
        state.configuration_revision = report.configuration_revision
        state.configuration_version = report.configuration_version
        state.clock_offset_s = report.clock_s - self._ctx.usage.clock.now_s()
        for window, counts in report.usage.items():
            state.usage.setdefault(window, {}).update(counts)
        state.fresh = report.fresh
        state.read_speeds = state.renewed_read_speeds.merge(
            state.read_speeds, report.read_speeds, sequence, spread_over
        )
        state.engines_revision = report.engines_revision
        if report.holder[1] > self.reported_holder[1]:
            self.reported_holder = report.holder
        new_use = state.quota_used.increases(report.quota_used, sequence, spread_over)
        new_tokens = state.prefill_tokens.increases(report.prefill_tokens, sequence, spread_over)
        if not self.uses_reports_of(report.name):
            # The summary of the daemon's zone contains its load.
            return True
        self._apply_quota_use(new_use)
        self._apply_quota_levels(report.quota_levels)
        self.zone_quota_used.update(new_use)
        self.zone_prefill_tokens.update(new_tokens)
        loads = state.renewed_loads.merge(state.loads, report.loads, sequence, spread_over)
        self._apply_loads(report.name, state.loads, loads)
        self._apply_prompts(report.prompts)
        state.loads = loads
        state.prompts = [*state.prompts, *report.prompts] if continues else report.prompts
        return True

    def apply_summary(self, summary: ZoneSummary) -> bool:
        """Apply the summary of another zone; returns whether the summary was new."""
        if summary.zone == self._ctx.settings.zone or self.full_mesh:
            return False
        state = self.zones.setdefault(summary.zone, ZoneState())
        aggregator = (summary.aggregator, summary.incarnation)
        if not state.follows(aggregator, summary.members, self._loop.time()):
            # What it says of engines counts, and that its members report.
            self._in_summary_at_s.update(dict.fromkeys(summary.members, self._loop.time()))
            return True
        if state.aggregator != aggregator:
            decision("zone_heard", zone=summary.zone, speaker=summary.aggregator)
            state.begin(aggregator)
        sequence, spread_over = summary.sequence, summary.spread_over
        if not state.order.accepts(sequence, summary.piece):
            return False
        state.received_at_s = self._loop.time()
        state.members = state.renewed_members.merge(
            state.members, dict.fromkeys(summary.members), sequence, spread_over
        )
        self._in_summary_at_s.update(dict.fromkeys(summary.members, state.received_at_s))
        if not summary.piece:
            self.hearing.note_summary(summary, state.members)
        state.configuration_revision = summary.configuration_revision
        state.configuration_version = summary.configuration_version
        state.engines_revision = summary.engines_revision
        state.takes_pieces = summary.takes_pieces
        self._apply_quota_use(state.quota_used.increases(summary.quota_used, sequence, spread_over))
        self._other_zones_prefill_tokens.update(
            state.prefill_tokens.increases(summary.prefill_tokens, sequence, spread_over)
        )
        loads = state.renewed_loads.merge(state.loads, summary.loads, sequence, spread_over)
        self._apply_loads(f"zone {summary.zone}", state.loads, loads)
        self._apply_prompts(summary.prompts)
        state.loads = loads
        return True

    def drop_expired(self) -> None:
        """Drop the loads of silent daemons and zones, and later their remaining state."""
        now_s = self._loop.time()
        self.hearing.drop_expired()
        self.hearing.log_changes()
        self._members.note_unknown(self._unknown_here())
        for key, state in list(self.states.items()):
            report_age_s = now_s - state.received_at_s
            if report_age_s >= REPORT_TIMEOUT_S and state.loads:
                decision("peer_silent", peer=key[0], silent_s=round(report_age_s, 2))
                state.loads = {}
                self._ctx.engines.drop_peer(key[0])
            if report_age_s >= RETENTION_S:
                del self.states[key]
        for key, received_at_s in list(self._in_summary_at_s.items()):
            if now_s - received_at_s >= RETENTION_S:
                del self._in_summary_at_s[key]
        for name, zone in self.zones.items():
            if now_s - zone.received_at_s >= REPORT_TIMEOUT_S and zone.loads:
                decision("zone_silent", zone=name, speaker=zone.aggregator[0])
                zone.loads = {}
                self._ctx.engines.drop_peer(f"zone {name}")

    def _unknown_here(self) -> list[str | int]:
        """Return the daemons that report and the holder's token that the store has not brought."""
        unknown: list[str | int] = [*(self.reporting() - self._members.entries.keys())]
        token = self.reported_holder[1]
        return [*unknown, token] if token > known_holder(self._members)[1] else unknown

    def correct_clock(self) -> None:
        """Correct this daemon's clock to the median of all clocks if it differs too much."""
        peers = self.reporting_directly().values()
        correction_s = agreed_correction_s([state.clock_offset_s for state in peers])
        if abs(correction_s) > CLOCK_TOLERANCE_S:
            self._ctx.usage.clock.correct(correction_s)
            for state in self.states.values():
                state.clock_offset_s -= correction_s
            decision("clock_corrected", by_s=round(correction_s, 3), peers=len(peers))

    def _apply_quota_use(self, new_use: Mapping[str, int]) -> None:
        if not new_use:
            return
        share, now_s = self.quota_share(), self._loop.time()
        for account, units in new_use.items():
            self._ctx.quota.note_peer_use(account, units, share, now_s)

    def _apply_quota_levels(self, levels: Mapping[str, int]) -> None:
        quota = self._ctx.quota
        for account in (each for each in levels if each not in quota):
            spec = self._ctx.in_force.account(account)
            if spec is not None:
                share = self.quota_share()
                quota.note_peer_level(spec, levels[account], share, self._loop.time())

    def _apply_loads(self, peer: str, before: Loads, now: Loads) -> None:
        for engine_id in before.keys() - now.keys():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peer_loads.pop(peer, None)
        for engine_id, (running, prompt_tokens) in now.items():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peer_loads[peer] = PeerLoad(running, prompt_tokens)

    def _apply_prompts(self, prompts: Prompts) -> None:
        for engine_id, parts in prompts:
            engine = self._ctx.engines.get(engine_id)
            if engine is None:
                continue
            service = self._ctx.in_force.service(engine.entry.service)
            if service is not None and service.engine is not None:
                prompt_parts = [PromptPart(part_id, tokens) for part_id, tokens in parts]
                self._ctx.placer.note_peer_prompt(engine, prompt_parts, service.engine.cache_tokens)
