"""What this daemon knows of the others: from their own reports, and from digests of other zones."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import PeerLoad
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_messages import PeerReport, ZoneDigest
from godwitpath.gateway.usage_duty import CountsByStart
from godwitpath.telemetry.decisions import decision

MESH_MAX = 12
"""Most daemons that report to one another directly: beyond it the reports of a full mesh cost more
than a percent of the smallest daemon's core and link."""

WATCHERS = 2
"""Daemons of a zone that follow the store in a large fleet: one may be lost."""

HEARD_S = 1.6
"""Time after which a daemon that sent no report counts as not heard: four reports."""

FORGET_S = 30.0
"""Time after which the counts of a silent daemon are dropped; its usage has been reported then."""

CLOCK_TOLERANCE_S = 0.5
"""Difference to the daemons' median beyond which an own clock is wrong."""

Loads = Mapping[str, tuple[int, int]]
Prompts = list[tuple[str, list[tuple[str, int]]]]


@dataclass(slots=True)
class PeerState:
    """What is known of another daemon.

    :ivar heard_at_s: loop time of its last report
    """

    number: int = -1
    heard_at_s: float = 0.0
    configuration: int = 0
    clock_offset_s: float = 0.0
    quota_used: Mapping[str, int] = field(default_factory=dict)
    usage: dict[int, dict[str, int]] = field(default_factory=dict)
    read_tokens: Mapping[str, int] = field(default_factory=dict)
    loads: Loads = field(default_factory=dict)
    prompts: Prompts = field(default_factory=list)
    fresh: bool = False
    engines: int = 0


@dataclass(slots=True)
class ZoneState:
    """What is known of another zone by its digests.

    :ivar speaker: the daemon that sent the last one, with its start
    """

    speaker: tuple[str, int] = ("", 0)
    number: int = -1
    heard_at_s: float = float("-inf")
    members: list[tuple[str, int]] = field(default_factory=list)
    configuration: int = 0
    quota_used: Mapping[str, int] = field(default_factory=dict)
    read_tokens: Mapping[str, int] = field(default_factory=dict)
    loads: Loads = field(default_factory=dict)


class PeerView:
    """The other daemons as this one knows them.

    :ivar states: daemons that report directly, by name and start
    :ivar zones: other zones by name, where their daemons do not
    :ivar zone_used: units that the own zone's daemons have let through, as counted here
    :ivar holder: the holder of the duties that others last told of, with its fencing token
    :ivar zone_read: prompt tokens that they have given to engines to read
    """

    def __init__(self, ctx: GatewayContext, members: Members, incarnation: int) -> None:
        self.states: dict[tuple[str, int], PeerState] = {}
        self.zones: dict[str, ZoneState] = {}
        self.zone_used: Counter[str] = Counter()
        self.zone_read: Counter[str] = Counter()
        self.holder: tuple[str, int] = ("", 0)
        self._far_read: Counter[str] = Counter()
        # When a digest last named a start of a daemon of another zone.
        self._far_heard_at_s: dict[tuple[str, int], float] = {}
        self._ctx = ctx
        self._members = members
        self._incarnation = incarnation
        self._loop = asyncio.get_running_loop()

    @property
    def meshed(self) -> bool:
        """Whether all daemons report to one another directly."""
        return len(self._members.entries) < MESH_MAX

    def near(self, name: str) -> bool:
        """Return whether a daemon's report tells of its load, not a digest of its zone."""
        entry = self._members.entries.get(name)
        return self.meshed or entry is None or entry.zone == self._ctx.settings.zone

    def heard(self) -> set[str]:
        """Return the daemons that were heard lately."""
        since_s = self._loop.time() - HEARD_S
        names = {name for (name, _), state in self.states.items() if state.heard_at_s >= since_s}
        for zone in self.zones.values():
            if zone.heard_at_s >= since_s:
                names.update(name for name, _ in zone.members)
        names.discard(self._ctx.settings.name)
        return names

    def heard_directly(self) -> dict[str, PeerState]:
        """Return the daemons whose own reports were heard lately."""
        since_s = self._loop.time() - HEARD_S
        return {
            name: state for (name, _), state in self.states.items() if state.heard_at_s >= since_s
        }

    def speaker(self) -> str:
        """Return the daemon that speaks for the own zone: the first by name that is heard."""
        zone = self._ctx.settings.zone
        names = [
            name
            for name in self.heard_directly()
            if (entry := self._members.entries.get(name)) is not None and entry.zone == zone
        ]
        return min([*names, self._ctx.settings.name])

    def watchers(self) -> list[str]:
        """Return the zone's other daemons that follow the store, in their order."""
        zone = self._ctx.settings.zone
        return sorted(
            name
            for name, state in self.heard_directly().items()
            if state.fresh
            and (entry := self._members.entries.get(name)) is not None
            and entry.zone == zone
        )

    def should_watch(self) -> bool:
        """Return whether this daemon has to follow the store itself.

        In a large fleet two daemons of each zone do, the first by name that the store serves.
        """
        if self.meshed:
            return True
        before = [name for name in self.watchers() if name < self._ctx.settings.name]
        return len(before) < WATCHERS

    def silence_s(self, name: str, incarnation: int) -> float | None:
        """Return for how long a start of a daemon has not been heard, None where it never was.

        Infinite where the daemon has started anew since. Zero where this daemon itself seems to be
        the one that is cut off: it hears less than half of the others.
        """
        if name == self._ctx.settings.name:
            return 0.0 if incarnation == self._incarnation else math.inf
        entry = self._members.entries.get(name)
        if entry is not None and entry.incarnation != incarnation:
            return math.inf
        others = self._members.entries.keys() - {name}
        if 2 * len(self.heard() & others) < len(others):
            return 0.0
        key = (name, incarnation)
        heard_at_s = [self._far_heard_at_s[key]] if key in self._far_heard_at_s else []
        state = self.states.get(key)
        if state is not None:
            heard_at_s.append(state.heard_at_s)
        return self._loop.time() - max(heard_at_s) if heard_at_s else None

    def quota_share(self) -> float:
        """Return the part of each quota that the daemons which hear one another may use."""
        heard = self.heard()
        known = 1 + len(self._members.entries.keys() | heard)
        return (1 + len(heard)) / known

    def usage_counts(self) -> CountsByStart:
        """Return the usage of each start of a daemon, this one included."""
        counts = {f"{name}/{start}": state.usage for (name, start), state in self.states.items()}
        counts[f"{self._ctx.settings.name}/{self._incarnation}"] = self._ctx.usage.own
        return counts

    def load(self, service: str) -> tuple[int, int]:
        """Return prompt tokens read and streams that run at a service, of all daemons."""
        read_tokens = self._ctx.placer.read_tokens.get(service, 0)
        read_tokens += self.zone_read[service] + self._far_read[service]
        engines = self._ctx.engines.all()
        running = sum(each.all_running for each in engines if each.entry.service == service)
        return read_tokens, running

    def take_report(self, report: PeerReport) -> None:
        """Take in what a daemon says of itself."""
        key = (report.name, report.incarnation)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = PeerState()
            decision("peer_heard", peer=report.name, incarnation=report.incarnation)
            state.quota_used = report.quota_used
            state.read_tokens = report.read_tokens
        if report.number <= state.number:
            return
        state.number = report.number
        state.heard_at_s = self._loop.time()
        state.configuration = report.configuration
        state.clock_offset_s = report.clock_s - self._ctx.usage.clock.now_s()
        state.usage.update(report.usage)
        state.fresh = report.fresh
        state.engines = report.engines
        if report.holder[1] > self.holder[1]:
            self.holder = report.holder
        if not self.near(report.name):
            # A digest of its zone tells of its work.
            return
        used = _growth(state.quota_used, report.quota_used)
        self._take_use(used)
        self.zone_used.update(used)
        self.zone_read.update(_growth(state.read_tokens, report.read_tokens))
        self._take_loads(report.name, state.loads, report.loads)
        self._take_prompts(report.prompts)
        state.quota_used = report.quota_used
        state.read_tokens = report.read_tokens
        state.loads = report.loads
        state.prompts = report.prompts

    def take_digest(self, digest: ZoneDigest) -> bool:
        """Take in what is said for another zone; returns whether it was new."""
        if digest.zone == self._ctx.settings.zone or self.meshed:
            return False
        state = self.zones.setdefault(digest.zone, ZoneState())
        speaker = (digest.speaker, digest.incarnation)
        if state.speaker != speaker:
            decision("zone_heard", zone=digest.zone, speaker=digest.speaker)
            state.speaker = speaker
            state.number = -1
            state.quota_used = digest.quota_used
            state.read_tokens = digest.read_tokens
        if digest.number <= state.number:
            return False
        state.number = digest.number
        state.heard_at_s = self._loop.time()
        state.members = digest.members
        self._far_heard_at_s.update(dict.fromkeys(digest.members, state.heard_at_s))
        state.configuration = digest.configuration
        self._take_use(_growth(state.quota_used, digest.quota_used))
        self._far_read.update(_growth(state.read_tokens, digest.read_tokens))
        self._take_loads(f"zone {digest.zone}", state.loads, digest.loads)
        self._take_prompts(digest.prompts)
        state.quota_used = digest.quota_used
        state.read_tokens = digest.read_tokens
        state.loads = digest.loads
        return True

    def forget_silent(self) -> None:
        """Drop what is too old."""
        now_s = self._loop.time()
        for key, state in list(self.states.items()):
            silent_s = now_s - state.heard_at_s
            if silent_s >= HEARD_S and state.loads:
                decision("peer_silent", peer=key[0], silent_s=round(silent_s, 2))
                state.loads = {}
                self._ctx.engines.drop_peer(key[0])
            if silent_s >= FORGET_S:
                del self.states[key]
        for key, heard_at_s in list(self._far_heard_at_s.items()):
            if now_s - heard_at_s >= FORGET_S:
                del self._far_heard_at_s[key]
        for name, zone in self.zones.items():
            if now_s - zone.heard_at_s >= HEARD_S and zone.loads:
                decision("zone_silent", zone=name, speaker=zone.speaker[0])
                zone.loads = {}
                self._ctx.engines.drop_peer(f"zone {name}")

    def correct_clock(self) -> None:
        """Take the median of the daemons' clocks where an own one is off."""
        offsets = sorted(state.clock_offset_s for state in self.heard_directly().values())
        if len(offsets) < 2:
            return
        median_s = offsets[len(offsets) // 2]
        if abs(median_s) > CLOCK_TOLERANCE_S:
            self._ctx.usage.clock.correct(median_s)
            decision("clock_corrected", by_s=round(median_s, 3), peers=len(offsets))

    def _take_use(self, used: Mapping[str, int]) -> None:
        for account, units in used.items():
            self._ctx.quota.note_peer_use(account, units)

    def _take_loads(self, peer: str, before: Loads, now: Loads) -> None:
        for engine_id in before.keys() - now.keys():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peers.pop(peer, None)
        for engine_id, (running, prompt_tokens) in now.items():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peers[peer] = PeerLoad(running, prompt_tokens)

    def _take_prompts(self, prompts: Prompts) -> None:
        for engine_id, parts in prompts:
            engine = self._ctx.engines.get(engine_id)
            if engine is None:
                continue
            service = self._ctx.in_force.service(engine.entry.service)
            if service is not None and service.engine is not None:
                told = [PromptPart(part_id, tokens) for part_id, tokens in parts]
                self._ctx.placer.note_peer_prompt(engine, told, service.engine.cache_tokens)


def _growth(before: Mapping[str, int], now: Mapping[str, int]) -> dict[str, int]:
    """Return by how much each counter has changed."""
    return {
        name: value - before.get(name, 0)
        for name, value in now.items()
        if value != before.get(name, 0)
    }


def sum_loads(loads: Iterable[Loads]) -> dict[str, tuple[int, int]]:
    """Return the work at each engine, summed over daemons."""
    total: dict[str, tuple[int, int]] = {}
    for each in loads:
        for engine_id, (running, prompt_tokens) in each.items():
            before = total.get(engine_id, (0, 0))
            total[engine_id] = (before[0] + running, before[1] + prompt_tokens)
    return total
