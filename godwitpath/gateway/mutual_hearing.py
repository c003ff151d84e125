"""Decides with whom a daemon is in contact both ways, and whom the daemons together choose.

Each daemon states in its reports whom it hears. That a daemon hears another one says nothing about
the other direction, so a decision that needs both uses what the others state. None in place of a
statement is of a build that states nothing: its sender counts as hearing what this daemon hears.

Nothing here uses the network or a clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

Heard = frozenset[str]
"""Names of the daemons that a daemon hears."""


@dataclass(slots=True)
class Stated:
    """What one daemon has stated to hear.

    :ivar received_at_s: time of its last statement
    :ivar changes: its statements in order, without repetitions: time of the first one, and whom it
        heard
    """

    received_at_s: float
    changes: list[tuple[float, Heard | None]] = field(default_factory=list)

    @property
    def latest(self) -> Heard | None:
        """The last statement."""
        return self.changes[-1][1]

    def is_steady(self, at_s: float, keep_s: float) -> bool:
        """Return whether the statements cover a whole time before a moment without a gap."""
        return self.changes[0][0] <= at_s - keep_s

    def hears_at_most(self, count: float, name: str) -> bool:
        """Return whether all statements name no more than some daemons, with their sender.

        :param name: the sender
        """
        return all(heard is not None and len(heard | {name}) <= count for _, heard in self.changes)


class HearingStatements:
    """Keeps what the daemons state to hear; a statement may name its sender too.

    :param keep_s: time for which a statement counts, and for which those before it are kept
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._stated: dict[str, Stated] = {}

    def note(self, name: str, heard: Heard | None, now_s: float) -> None:
        """Note a statement of a daemon."""
        stated = self._stated.get(name)
        if stated is None or now_s - stated.received_at_s > self._keep_s:
            self._stated[name] = Stated(now_s, [(now_s, heard)])
            return
        stated.received_at_s = now_s
        if heard is not stated.latest and heard != stated.latest:
            stated.changes.append((now_s, heard))
        # The statement before the oldest one that is kept was still valid when that one came.
        while len(stated.changes) > 1 and stated.changes[1][0] <= now_s - self._keep_s:
            del stated.changes[0]

    def forget(self) -> None:
        """Drop all statements, after a pause in which this daemon missed some."""
        self._stated.clear()

    def current(self, now_s: float) -> dict[str, Stated]:
        """Return the statements that count now, and drop the others."""
        for name in [
            name
            for name, stated in self._stated.items()
            if now_s - stated.received_at_s > self._keep_s
        ]:
            del self._stated[name]
        return self._stated

    def hears_less_than_half(self, name: str, others: Collection[str], now_s: float) -> bool:
        """Return whether a daemon has stated for the whole time to hear less than half of some."""
        stated = self.current(now_s).get(name)
        return (
            stated is not None
            and stated.is_steady(now_s, self._keep_s)
            and all(
                heard is not None and 2 * len(heard.intersection(others)) < len(others)
                for _, heard in stated.changes
            )
        )

    def latest(self, name: str) -> Heard | None:
        """Return the last statement of a daemon, None if it has not stated whom it hears."""
        stated = self._stated.get(name)
        return stated.latest if stated is not None else None


def in_contact(name: str, heard: Iterable[str], stated: Callable[[str], Heard | None]) -> set[str]:
    """Return the daemons with which a daemon is in contact both ways.

    :param name: the daemon
    :param heard: daemons that it hears
    :param stated: returns whom a daemon stated to hear, None if it stated nothing
    """
    return {
        other for other in heard if (others_heard := stated(other)) is None or name in others_heard
    }


def widely_heard(names: Collection[str], stated: Callable[[str], Heard | None]) -> list[str]:
    """Return those of some daemons that at least half of the others of them hear.

    :param stated: returns whom a daemon stated to hear, None if it stated nothing
    """
    statements = {name: stated(name) for name in names}

    def heard_by(name: str) -> int:
        return sum(
            heard is None or name in heard for other, heard in statements.items() if other != name
        )

    return [name for name in names if 2 * heard_by(name) >= len(names) - 1]


def choice(ranking: Sequence[str], voter: str, heard: Collection[str]) -> str | None:
    """Return the first of a ranking that a daemon hears, or itself."""
    return next((name for name in ranking if name == voter or name in heard), None)


@dataclass(slots=True, frozen=True)
class Election:
    """Whom more than half of the known daemons choose, None if there is no such daemon.

    :ivar chosen: by their last statements
    :ivar steady: by all their statements in the time for which one counts: no daemon can be chosen
        so while another one still counts an earlier statement for itself
    """

    chosen: str | None
    steady: str | None


def elect(
    ranking: Sequence[str],
    stated: Mapping[str, Stated],
    own_heard: Heard,
    known: int,
    now_s: float,
    keep_s: float,
) -> Election:
    """Count for each daemon whose statement counts the daemon that it chooses.

    Two daemons that count for themselves more than half of the same known daemons have counted one
    of them in common, and each daemon chooses one. A daemon that hears half of them or less cannot
    count that many, so nobody chooses it once it has stated so for the whole time.

    :param ranking: names of the known daemons, the preferred ones first
    :param own_heard: this daemon and those that it hears, for daemons that state nothing
    :param known: number of known daemons, including this one
    """
    deaf = {
        name
        for name, statements in stated.items()
        if statements.is_steady(now_s, keep_s) and statements.hears_at_most(known / 2, name)
    }
    if deaf:
        ranking = [name for name in ranking if name not in deaf]
    last: Counter[str | None] = Counter()
    steady: Counter[str | None] = Counter()
    for voter, statements in stated.items():
        choices = {
            choice(ranking, voter, own_heard if heard is None else heard)
            for _, heard in statements.changes[:-1]
        }
        latest = own_heard if statements.latest is None else statements.latest
        chosen = choice(ranking, voter, latest)
        last[chosen] += 1
        if choices <= {chosen} and statements.is_steady(now_s, keep_s):
            steady[chosen] += 1
    return Election(_majority(last, known), _majority(steady, known))


def _majority(votes: Counter[str | None], known: int) -> str | None:
    return next((name for name, count in votes.items() if 2 * count > known), None)
