"""Evidence about prompts that crash engines: the crashes, and the responses that went well."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.quarantine_report import Parts, ReportedCrash

EVIDENCE_RETENTION_S = 600.0
"""Time for which a crash counts."""

REPORT_S = 1.6
"""Time for which a change is repeated in reports to the other daemons: four reports, of which
some may be lost."""

MAX_CRASHES = 256
"""Number of crashes that are remembered."""

MAX_PROMPTS_PER_CRASH = 128
"""Number of prompts that are remembered of a crash."""

MAX_REPORTED_PROMPTS = 256
"""Number of prompts in a report, which has to fit into a datagram."""

MAX_SUCCESSES = 8192
"""Number of parts of which it is remembered that a response went well: callers choose the ids."""


@dataclass(slots=True)
class Crash:
    """A crash of one incarnation of an engine.

    :ivar at_s: time of the crash
    :ivar learned_at_s: time at which its last prompt was learned
    :ivar prompts: shared parts of each prompt that the engine could have begun to answer
    :ivar own_prompts: those of the prompts that this daemon had sent
    """

    at_s: float
    learned_at_s: float
    prompts: set[Parts] = field(default_factory=set)
    own_prompts: set[Parts] = field(default_factory=set)


@dataclass(slots=True)
class SuccessRecord:
    """When a response to a part went well.

    :ivar succeeded_at_s: time of the last such response
    :ivar reported_at_s: time of the last one that the other daemons know of
    """

    succeeded_at_s: float
    reported_at_s: float = float("-inf")


class CrashEvidence:
    """Crashes by engine and by part, and successes by part, within bounds.

    :param started_at_s: time since which evidence is collected; earlier crashes do not count, since
        the responses that went well after them are not known
    :ivar crashes: the crashes by incarnation of the engine, in the order in which they were learned
    :ivar successes: the successes by part, the last one that was renewed at the end
    """

    __slots__ = ("_incarnations_by_part", "_started_at_s", "crashes", "successes")

    def __init__(self, started_at_s: float) -> None:
        self.crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self.successes: OrderedDict[str, SuccessRecord] = OrderedDict()
        self._incarnations_by_part: defaultdict[str, set[Incarnation]] = defaultdict(set)
        self._started_at_s = started_at_s

    def add_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        prompts: Iterable[Parts],
        now_s: float,
        *,
        own: bool,
    ) -> set[str]:
        """Add a crash, or further prompts of a known one.

        :returns: the parts of the prompts that are new
        """
        if at_s < self._started_at_s or now_s - at_s >= EVIDENCE_RETENTION_S:
            return set()
        crash = self.crashes.get(incarnation)
        if crash is None:
            crash = self.crashes[incarnation] = Crash(at_s, now_s)
            if len(self.crashes) > MAX_CRASHES:
                self._drop_crash(next(iter(self.crashes)))
        crash.at_s = min(crash.at_s, at_s)
        unknown = sorted({prompt for prompt in prompts if prompt} - crash.prompts)
        new_prompts = unknown[: MAX_PROMPTS_PER_CRASH - len(crash.prompts)]
        if own:
            crash.own_prompts.update(new_prompts)
        if new_prompts:
            crash.prompts.update(new_prompts)
            crash.learned_at_s = now_s
        new_parts = {part for prompt in new_prompts for part in prompt}
        for part in new_parts:
            self._incarnations_by_part[part].add(incarnation)
        return new_parts

    def add_success(self, part: str, at_s: float) -> SuccessRecord:
        """Add a response to a part that went well, and return the success."""
        success = self.successes.setdefault(part, SuccessRecord(at_s))
        success.succeeded_at_s = max(success.succeeded_at_s, at_s)
        self.successes.move_to_end(part)
        while len(self.successes) > MAX_SUCCESSES:
            self.successes.popitem(last=False)
        return success

    def succeeded_since(self, part: str, since_s: float) -> bool:
        """Return whether a response to a part went well after a time."""
        success = self.successes.get(part)
        return success is not None and success.succeeded_at_s > since_s

    def times_s(self, part: str) -> list[float]:
        """Return the times of all crashes under a part."""
        return [self.crashes[each].at_s for each in self._incarnations_by_part.get(part, ())]

    def crashes_since_success(self, part: str) -> Iterator[Crash]:
        """Yield the crashes under a part since the last response to it that went well."""
        success = self.successes.get(part)
        for incarnation in self._incarnations_by_part.get(part, ()):
            crash = self.crashes[incarnation]
            if success is None or crash.at_s > success.succeeded_at_s:
                yield crash

    def count_since(self, at_s: float) -> int:
        """Return the number of crashes since a time."""
        return sum(crash.at_s >= at_s for crash in self.crashes.values())

    def reported_crashes(self, now_s: float, *, relayed: bool) -> list[ReportedCrash]:
        """Return the crashes to report to the other daemons, the newest first.

        :param relayed: whether to report also the prompts that other daemons reported
        """
        reported: list[ReportedCrash] = []
        prompts_left = MAX_REPORTED_PROMPTS
        for (engine_id, started_at_ms), crash in reversed(self.crashes.items()):
            if now_s - crash.learned_at_s >= REPORT_S:
                continue
            prompts = sorted(crash.prompts if relayed else crash.own_prompts)[:prompts_left]
            if prompts:
                age_s = round(now_s - crash.at_s, 3)
                reported.append(ReportedCrash(engine_id, started_at_ms, age_s, prompts))
                prompts_left -= len(prompts)
        return reported

    def drop_expired(self, now_s: float) -> None:
        """Drop the crashes that no longer count."""
        for incarnation, crash in list(self.crashes.items()):
            if now_s - crash.at_s >= EVIDENCE_RETENTION_S:
                self._drop_crash(incarnation)

    def _drop_crash(self, incarnation: Incarnation) -> None:
        crash = self.crashes.pop(incarnation)
        for part in {part for prompt in crash.prompts for part in prompt}:
            self._incarnations_by_part[part].discard(incarnation)
            if not self._incarnations_by_part[part]:
                del self._incarnations_by_part[part]
