"""Keeps the quarantined requests in the store, so that a fleet that was restarted knows them.

Daemons exchange verdicts in their reports. The store holds the verdicts for the case that no daemon
is left that knows them, and the subjects that an operator has lifted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from heapq import nlargest
from random import Random

import msgspec

from godwitpath.decoding import Count, Finite, Unreadable, decode
from godwitpath.gateway.crash_watch import CrashWatch
from godwitpath.gateway.members import KEY_PREFIX, Members
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict, Subjects
from godwitpath.gateway.store import Item, Precondition, Put, Store
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.gateway.verdicts import PROMPT_QUARANTINE_S, quarantine_s
from godwitpath.gateway.wakeups import wait_for_any
from godwitpath.ports.kv import StoreError
from godwitpath.telemetry.decisions import decision

QUARANTINE_KEY = KEY_PREFIX + "quarantine"
"""Store key of the quarantined requests."""

CHECK_S = 5.0
"""Mean interval between two comparisons with the store's copy, which is written only if it lacks
something."""

WRITE_DELAY_S = 0.5
"""Longest random delay until a new verdict is written, so that usually one daemon does."""

REFRESH_S = PROMPT_QUARANTINE_S / 3
"""Difference to the time of the last request in the store's copy from which it is written again."""


MAX_STORED_BYTES = 65_536
"""Size of the verdicts in the store's copy: callers choose how many parts their prompts have."""

MAX_LIFTED = 4096
"""Number of lifted subjects in the store's copy, the newest ones: those of the longest prompt."""


class StoredVerdict(msgspec.Struct, frozen=True):
    """A verdict in the store.

    :ivar subjects: the quarantined subjects
    :ivar crashes: number of crashes that spoke for it
    :ivar since_s: time of the first of them in seconds since 1970
    :ivar asked_at_s: time of the last request known at the writing, in seconds since 1970
    """

    subjects: Subjects = msgspec.field(name="parts")
    crashes: Count
    since_s: Finite
    asked_at_s: Finite


class StoredQuarantine(msgspec.Struct, frozen=True):
    """Value of :data:`QUARANTINE_KEY`.

    :ivar lifted: time in seconds since 1970 at which an operator lifted the verdicts on a subject
    """

    verdicts: list[StoredVerdict] = []
    lifted: dict[str, Finite] = {}


_decoder = msgspec.json.Decoder(StoredQuarantine)


def decode_quarantine(item: Item | None) -> StoredQuarantine:
    """Return the store's copy, an empty one if there is none.

    :raises Unreadable: the copy is damaged
    """
    return StoredQuarantine() if item is None else decode(_decoder, item.value)


def lift(stored: StoredQuarantine, subject: str, now_s: float) -> StoredQuarantine:
    """Return the store's copy without the verdicts on a subject.

    :param now_s: time in seconds since 1970
    """
    lifted = [verdict for verdict in stored.verdicts if subject in verdict.subjects]
    subjects = {each for verdict in lifted for each in verdict.subjects}
    return StoredQuarantine(
        [verdict for verdict in stored.verdicts if verdict not in lifted],
        _without_old(stored.lifted, now_s) | dict.fromkeys(subjects, now_s),
    )


def _without_old(lifted: dict[str, float], now_s: float) -> dict[str, float]:
    newest = nlargest(MAX_LIFTED, lifted.items(), key=lambda each: (each[1], each[0]))
    return {subject: at_s for subject, at_s in newest if now_s - at_s < quarantine_s((subject,))}


def that_fit(verdicts: Iterable[StoredVerdict]) -> list[StoredVerdict]:
    """Return the verdicts that have room in the store's copy, those of few subjects first."""
    fitting: list[StoredVerdict] = []
    left = MAX_STORED_BYTES
    for each in sorted(verdicts, key=lambda each: (len(each.subjects), each.subjects)):
        left -= len(msgspec.json.encode(each)) + 1
        if left < 0:
            break
        fitting.append(each)
    return fitting


class QuarantineStore:
    """Writes this daemon's verdicts to the store, and applies the store's.

    A copy that cannot be read counts as empty, and is replaced by the next one that is written.

    :param now_s: returns the time in seconds since 1970
    :ivar unreadable: the store's copy, while it cannot be read
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        crashes: CrashWatch,
        now_s: Callable[[], float],
        rng: Random,
    ) -> None:
        self._store = store
        self._members = members
        self._crashes = crashes
        self._now_s = now_s
        self._rng = rng
        self._changed = members.changed_event()
        self._applied_revision = 0
        # Lifts that the store's copy has stated, which a restore of the store may lose.
        self._lifted: dict[str, float] = {}
        self.unreadable = UnreadableValues("quarantine_unreadable")

    async def run(self) -> None:
        """Keep the store's copy and this daemon's verdicts alike until cancelled."""
        while True:
            self._apply()
            if self._lacks_something():
                await asyncio.sleep(WRITE_DELAY_S * self._rng.random())
                self._apply()
                if self._lacks_something():
                    await self._write()
            await self._wait()

    async def _wait(self) -> None:
        """Wait for a change of the store, a new verdict, or the next comparison."""
        events = (self._changed, self._crashes.verdict_added)
        await wait_for_any(events, CHECK_S * self._rng.uniform(0.5, 1.5))

    def _apply(self) -> None:
        """Apply the store's copy once each time that it was written."""
        item = self._members.items.get(QUARANTINE_KEY)
        if item is None or item.revision == self._applied_revision:
            return
        self._applied_revision = item.revision
        stored, now_s = self._read(item), self._now_s()
        self._lifted = self._all_lifts(stored)
        self._crashes.apply_report(
            "store",
            QuarantineReport(
                verdicts=[
                    ReportedVerdict(
                        each.subjects,
                        each.crashes,
                        max(0.0, now_s - each.since_s),
                        max(0.0, now_s - each.asked_at_s),
                    )
                    for each in stored.verdicts
                ],
                successes={
                    subject: max(0.0, now_s - at_s) for subject, at_s in stored.lifted.items()
                },
            ),
        )

    def _lacks_something(self) -> bool:
        """Return whether the store's copy lacks a verdict or a lift, or has what is outdated."""
        if self._members.watcher.last_response_at_s is None:
            return False
        stored = self._stored()
        asked_at_s = {each.subjects: each.asked_at_s for each in stored.verdicts}
        return (
            not self._all_lifts(stored).items() <= stored.lifted.items()
            or any(self._is_refuted(each) for each in stored.verdicts)
            or any(
                each.asked_at_s - asked_at_s.get(each.subjects, 0.0) >= REFRESH_S
                for each in self._verdicts(stored)
            )
        )

    def _verdicts(self, stored: StoredQuarantine) -> list[StoredVerdict]:
        """Return the verdicts of the store's copy that still hold, and this daemon's."""
        now_s = self._now_s()
        verdicts = {
            each.subjects: each
            for each in (*stored.verdicts, *self._own_verdicts())
            if now_s - each.asked_at_s < quarantine_s(each.subjects) and not self._is_refuted(each)
        }
        return that_fit(verdicts.values())

    def _all_lifts(self, stored: StoredQuarantine) -> dict[str, float]:
        """Return the lifts that still count, of the store's copy and of earlier ones."""
        latest = dict(stored.lifted)
        for subject, at_s in self._lifted.items():
            latest[subject] = max(at_s, latest.get(subject, at_s))
        return _without_old(latest, self._now_s())

    def _stored(self) -> StoredQuarantine:
        return self._read(self._members.items.get(QUARANTINE_KEY))

    def _read(self, item: Item | None) -> StoredQuarantine:
        try:
            stored = decode_quarantine(item)
        except Unreadable as error:
            self.unreadable.note(QUARANTINE_KEY, str(error))
            return StoredQuarantine()
        self.unreadable.forget(QUARANTINE_KEY)
        return stored

    def _is_refuted(self, stored: StoredVerdict) -> bool:
        since_s = asyncio.get_running_loop().time() - (self._now_s() - stored.since_s)
        return self._crashes.quarantine.refutes(stored.subjects, since_s)

    def _own_verdicts(self) -> Iterable[StoredVerdict]:
        now_s = self._now_s()
        loop_now_s = asyncio.get_running_loop().time()
        for each in self._crashes.quarantine.reported_verdicts(loop_now_s):
            yield StoredVerdict(
                each.subjects, each.crashes, now_s - each.since_age_s, now_s - each.asked_age_s
            )

    async def _write(self) -> None:
        """Write the verdicts of the store's copy that still hold, and this daemon's; all lifts."""
        item = self._members.items.get(QUARANTINE_KEY)
        stored = self._read(item)
        verdicts = self._verdicts(stored)
        value = StoredQuarantine(verdicts, self._all_lifts(stored))
        revision = item.revision if item is not None else 0
        put = Put(QUARANTINE_KEY, msgspec.json.encode(value))
        try:
            await self._store.transact([Precondition(QUARANTINE_KEY, revision)], [put])
        except StoreError as error:
            decision("quarantine_not_stored", reason=str(error))
            return
        decision("quarantine_stored", verdicts=len(verdicts))
