"""Decides when a daemon that watches the store asks it whether the daemon's state is the newest.

A watch request of the store waits for changes, and a connection that has fallen silent looks the
same as a store without changes. Short waits would tell the two apart, at the price of several calls
a second for each watching daemon. Instead, watch requests wait long, and daemons tell one another
how recently they knew their state to be the newest. A daemon asks the store once that time has
passed a share of the time within which changes must be known, and tells the others the result at
once, so that mostly one daemon of the deployment asks. This answers deployments of any size in
which little changes; the number of calls does not grow with the number of daemons.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.store_watch import StoreWatcher

CHECK_SHARE = 0.25
"""Age of a daemon's state, as a share of the time within which changes must be known, from which
the daemon asks the store."""

CHECK_SPREAD = 0.1
"""Largest part of that time by which the age is greater at some daemons, so that they do not ask
together: what one of them learns reaches the others within some hundredths of a second."""

POLL_S = 0.05
"""Interval at which the ages are compared with the age to ask at."""


class StoreChecks:
    """Asks the store when neither it nor a peer has confirmed this daemon's state lately.

    :param change_s: time within which changes must be known
    :param informs_zones: returns whether this daemon's reports reach all zones at once; the others
        ask later
    :param on_confirmed: called after the store has confirmed the state, to tell the other daemons
    :ivar checks: number of checks
    """

    def __init__(
        self,
        catalogue: Catalogue,
        rng: Random,
        change_s: float,
        informs_zones: Callable[[], bool],
        on_confirmed: Callable[[], None],
    ) -> None:
        self.checks = 0
        self._catalogue = catalogue
        self._change_s = change_s
        self._spread = CHECK_SPREAD * rng.random()
        self._informs_zones = informs_zones
        self._on_confirmed = on_confirmed

    async def run(self) -> None:
        """Ask the store whenever this is due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            due = self._due_watchers()
            if not due:
                continue
            self.checks += 1
            confirmed = await asyncio.gather(*(watcher.confirm() for watcher in due))
            if any(confirmed):
                self._on_confirmed()

    def check_age_s(self) -> float:
        """Return the age of the state from which this daemon asks the store, in seconds."""
        share = CHECK_SHARE + self._spread
        if not self._informs_zones():
            share += CHECK_SPREAD
        return self._change_s * share

    def _due_watchers(self) -> list[StoreWatcher]:
        catalogue = self._catalogue
        if not catalogue.watching or not catalogue.is_loaded:
            return []
        ages = catalogue.ages()
        age_s = self.check_age_s()
        by_watcher = (
            (catalogue.configuration_watcher, ages.configuration_s),
            (catalogue.entries_watcher, ages.engines_s),
        )
        # Any other watcher already asks the store.
        return [
            watcher
            for watcher, known_s in by_watcher
            if known_s > age_s and watcher.waits_for_changes
        ]
