"""Asks daemons whose reports do not arrive for their usage counts, before a window is pinned.

Reports are datagrams, and a link may lose them while a connection still works. The duty holder asks
each daemon that it has not heard since a window ended, so that the window's counts miss no daemon
that can be reached.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from godwitpath.decoding import Count, Identifier, Unreadable, Whole, decode
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.peer_view import PeerView
from godwitpath.gateway.pulls import CataloguePuller
from godwitpath.gateway.usage import KEPT_WINDOWS
from godwitpath.gateway.usage_store import CountsByIncarnation, merge_counts
from godwitpath.http1.messages import NotSent, ResponseLost
from godwitpath.telemetry.decisions import decision

USAGE_TARGET = b"/usage"
"""Request target of a pull of usage counts. Older builds refuse it."""

ASK_AFTER_S = 1.0
"""Time after a window's end from which daemons are asked: two reports and a half."""

FINAL_AFTER_S = 2.0
"""Time after a window's end from which an answer is final: requests are counted when their response
arrives."""

ASK_INTERVAL_S = 0.5
"""Interval at which a daemon without a final answer is asked again."""

ASK_UNTIL_S = 8.0
"""Time after a window's end until which daemons are asked for its counts."""


class UsageView(msgspec.Struct, array_like=True):
    """A daemon's own usage counts, in the response to a pull.

    :ivar incarnation: random number of the daemon's incarnation
    :ivar usage: number of requests that started to run, by usage window and account
    """

    incarnation: Identifier
    usage: Annotated[dict[Whole, dict[str, Count]], msgspec.Meta(max_length=KEPT_WINDOWS + 2)]


_view_decoder = msgspec.msgpack.Decoder(UsageView)


def unheard_daemons(
    members: Mapping[str, MemberEntry],
    report_ages_s: Mapping[tuple[str, int], float],
    ended_s: float,
) -> list[str]:
    """Return the names of the registered daemons that were not heard since a window ended.

    :param members: registrations of the other daemons by name
    :param report_ages_s: seconds since the last report, by name and incarnation
    :param ended_s: seconds since the window ended
    """
    return sorted(
        name
        for name, entry in members.items()
        if report_ages_s.get((name, entry.incarnation), ended_s) >= ended_s
    )


class UsagePuller:
    """Pulls the counts of daemons that are not heard while this daemon holds the duties.

    :param puller: makes the pulls, and responds to those of the others
    """

    def __init__(
        self,
        ctx: GatewayContext,
        members: Members,
        view: PeerView,
        puller: CataloguePuller,
        holder: DutyHolder,
    ) -> None:
        self._ctx = ctx
        self._members = members
        self._view = view
        self._puller = puller
        self._holder = holder
        self._pulled: CountsByIncarnation = {}
        # Names of the daemons whose final answer about a window has arrived, with the window.
        self._answered: set[tuple[str, int]] = set()
        self._loop = asyncio.get_running_loop()
        puller.responses[USAGE_TARGET] = self._encode_view

    def counts(self) -> CountsByIncarnation:
        """Return the counts of every daemon's incarnations, as reported or as pulled."""
        counts: CountsByIncarnation = {}
        merge_counts(counts, self._pulled)
        merge_counts(counts, self._view.usage_counts())
        return counts

    async def run(self) -> None:
        """Ask the daemons that are not heard, until cancelled."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            if self._holder.fencing_token() is None:
                continue
            usage = self._ctx.usage
            now_s = usage.clock.now_s()
            window = usage.window_at(now_s - ASK_AFTER_S) - 1
            ended_s = now_s - (window + 1) * usage.window_s
            if ended_s < ASK_UNTIL_S:
                await self._ask_unheard(window, ended_s)

    async def _ask_unheard(self, window: int, ended_s: float) -> None:
        now_s = self._loop.time()
        report_ages_s = {
            key: now_s - state.received_at_s for key, state in self._view.states.items()
        }
        unheard = unheard_daemons(self._members.entries, report_ages_s, ended_s)
        self._answered = {each for each in self._answered if each[1] == window}
        asked = [name for name in unheard if (name, window) not in self._answered]
        if not asked:
            return
        outcomes = await asyncio.gather(*(self._ask(name) for name in asked))
        self._drop_expired(window)
        if ended_s >= FINAL_AFTER_S:
            answered = zip(asked, outcomes, strict=True)
            self._answered.update((name, window) for name, has_answered in answered if has_answered)
        missing = [name for name, answered in zip(asked, outcomes, strict=True) if not answered]
        decision("usage_pulled", window=window, answered=len(asked) - len(missing), missing=missing)

    async def _ask(self, name: str) -> bool:
        """Ask a daemon for its counts; returns whether it answered."""
        entry = self._members.entries.get(name)
        if entry is None:
            return False
        try:
            _, payload = await self._puller.request(entry, USAGE_TARGET, b"")
            view = decode(_view_decoder, payload)
        except (NotSent, ResponseLost, Unreadable) as error:
            decision("usage_pull_failed", peer=name, reason=str(error) or repr(error))
            return False
        merge_counts(self._pulled, {f"{name}/{view.incarnation}": view.usage})
        return True

    def _drop_expired(self, window: int) -> None:
        kept = {
            incarnation: _from_window(window - KEPT_WINDOWS, windows.items())
            for incarnation, windows in self._pulled.items()
        }
        self._pulled = {incarnation: windows for incarnation, windows in kept.items() if windows}

    def _encode_view(self) -> bytes:
        usage = {key: dict(value) for key, value in self._ctx.usage.recent(KEPT_WINDOWS).items()}
        return msgspec.msgpack.encode(UsageView(self._members.incarnation, usage))


def _from_window(
    first: int, windows: Iterable[tuple[int, dict[str, int]]]
) -> dict[int, dict[str, int]]:
    return {window: counts for window, counts in windows if window >= first}
