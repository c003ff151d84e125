"""The duties of an entry daemon: work that one daemon does for all."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

from godwitpath.duties.keeper import DutyKeeper
from godwitpath.execution.sweep import SWEEP_DUTY, ExecutionSweeper
from godwitpath.membership.member import Member
from godwitpath.membership.swim import Membership
from godwitpath.ports.kv import KeyValueStore

KEEP_EXECUTIONS_S = 604_800.0
"""How long the outcomes of calls that may run once can be asked for."""


class DutyWork:
    """Takes the duties that this entry ranks first for, and does them.

    :ivar keeper: holds the duties
    """

    __slots__ = ("_membership", "_sweeper", "keeper")

    def __init__(self, store: KeyValueStore, membership: Membership, rng: random.Random) -> None:
        self._membership = membership
        self.keeper = DutyKeeper(store, membership.local, self._staying, rng)
        self.keeper.set_duties([SWEEP_DUTY])
        self._sweeper = ExecutionSweeper(store, self.keeper, KEEP_EXECUTIONS_S)

    def parts(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return what must run, by name."""
        return {"duties": self.keeper.run, "sweep": self._sweeper.run}

    def held(self) -> list[str]:
        """Return the names of the duties held now."""
        return [f"{duty.name}/{duty.shard}" for duty in self.keeper.held()]

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return self.keeper.dump()

    def _staying(self) -> list[Member]:
        return self._membership.live()
