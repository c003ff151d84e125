"""Limiter of client accounts at one entry; entries lend one another unused shares."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from godwitpath.config.model import Account
from godwitpath.limits.bucket import AccountBuckets
from godwitpath.limits.shares import MemberCount, ShareBook
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable

EXCHANGE_INTERVAL_S = 0.25
"""Time between two rounds of asking for shares."""

REQUEST_TIMEOUT_S = 0.5
"""Longest time that an answer of a peer is waited for."""

PEERS_ASKED = 4
"""Peers asked for a share in a round."""

DEMAND_WEIGHT = 0.05
"""Weight of a round in the measured demand."""

HEADROOM = 1.05
"""Factor on the measured demand that an entry keeps or asks for."""

RESERVE = 0.1
"""Part of its base share that an entry never lends."""

MIN_WANTED = 0.005
"""Smallest part of a limit that is asked for."""

IDLE_S = 60.0
"""Time after which an account without calls is forgotten."""


@peer_message
class ShareRequest(PeerMessage):
    """Asks for a part of an account's limit, with what was borrowed there already."""

    account: str
    share: float


@peer_message
class ShareGrant(PeerMessage):
    """Lends a part of an account's limit; 0 for nothing."""

    account: str
    share: float


@dataclass(slots=True, frozen=True)
class LimitRefusal:
    """A call over its account's limit.

    :ivar retry_after_s: whole seconds until a call would pass
    """

    reason: str
    retry_after_s: int


@dataclass(slots=True)
class LimiterCounters:
    """Counts since the start."""

    taken: int = 0
    refused: int = 0
    share_requests: int = 0
    share_grants: int = 0


@dataclass(slots=True)
class _AccountState:
    spec: Account
    buckets: AccountBuckets
    filled_at_s: float
    used_at_s: float
    shares: ShareBook = field(default_factory=ShareBook)
    offered: float = 0.0
    demand: float = 0.0


class AccountLimiter:
    """Holds accounts to their written rates over all entries.

    :ivar entry_id: name of this entry
    """

    def __init__(self, entry_id: str, rng: Random) -> None:
        self.entry_id = entry_id
        self.counters = LimiterCounters()
        self.members = MemberCount()
        self._rng = rng
        self._accounts: dict[str, _AccountState] = {}

    def observe_members(self, live: int, listed: int | None = None) -> None:
        """Note how many entries there are, this one included.

        :param live: entries that membership holds alive
        :param listed: entries in the platform's list, given when it was just read
        """
        self.members.observe(live, listed)

    def take(self, account: str, spec: Account, tokens: int, now_s: float) -> LimitRefusal | None:
        """Take a call from an account's limit.

        :param tokens: prompt tokens and tokens asked for
        :returns: why the call is over the limit, None when it may go
        """
        state = self._state(account, spec, now_s)
        state.used_at_s = now_s
        state.offered += max(1.0 / spec.requests_per_s, tokens / spec.tokens_per_s)
        self._fill(state, now_s)
        share = state.shares.share(self._base, now_s)
        wait_s = state.buckets.wait_s(spec, share)
        if wait_s > 0.0:
            self.counters.refused += 1
            reason = f"account {account} is over its rate"
            return LimitRefusal(reason, max(1, math.ceil(wait_s)))
        state.buckets.take(tokens)
        self.counters.taken += 1
        return None

    def share(self, account: str, now_s: float) -> float:
        """Return the part of an account's limit that this entry may use now."""
        state = self._accounts.get(account)
        return state.shares.share(self._base, now_s) if state else self._base

    def wanted(self, now_s: float) -> list[ShareRequest]:
        """Measure the demand of a round and return what this entry lacks."""
        requests = []
        for account, state in list(self._accounts.items()):
            lending = state.shares.lent or state.shares.borrowed
            if now_s - state.used_at_s > IDLE_S and not lending:
                del self._accounts[account]
                continue
            self._fill(state, now_s)
            sample = state.offered / EXCHANGE_INTERVAL_S
            state.offered = 0.0
            state.demand += DEMAND_WEIGHT * (sample - state.demand)
            lacking = HEADROOM * state.demand - state.shares.lasting(self._base, now_s)
            if lacking >= MIN_WANTED:
                requests.append(ShareRequest(account, lacking))
        return requests

    def lend(self, borrower: str, request: ShareRequest, now_s: float) -> ShareGrant:
        """Answer a peer that lacks a part of a limit."""
        state = self._accounts.get(request.account)
        if state is None:
            state = self._accounts[request.account] = self._idle_state(now_s)
        self._fill(state, now_s)
        own = max(HEADROOM * state.demand, RESERVE * self._base)
        share = state.shares.lend(borrower, request.share, own, self._base, now_s)
        self.counters.share_grants += share > 0.0
        return ShareGrant(request.account, share)

    def request(self, lender: str, account: str, lacking: float, now_s: float) -> ShareRequest:
        """Return what to ask a peer for."""
        state = self._accounts.get(account)
        has = state.shares.lasting_from(lender, now_s) if state else 0.0
        return ShareRequest(account, lacking + has)

    def borrow(self, lender: str, grant: ShareGrant, asked_at_s: float, now_s: float) -> None:
        """Take in a peer's answer."""
        state = self._accounts.get(grant.account)
        if state is not None:
            self._fill(state, now_s)
            state.shares.borrow(lender, grant.share, asked_at_s, now_s)

    def peers_to_ask(self, account: str, live: Sequence[str], now_s: float) -> list[str]:
        """Return the peers to ask in a round: lenders of loans that end, then any at random."""
        others = [entry_id for entry_id in live if entry_id != self.entry_id]
        state = self._accounts.get(account)
        ending = state.shares.ending(now_s) if state else []
        first = [name for name in ending if name in others]
        rest = [name for name in others if name not in first]
        self._rng.shuffle(rest)
        return [*first, *rest][: max(PEERS_ASKED, len(first))]

    async def run(self, transport: PeerTransport, live: Callable[[], Sequence[str]]) -> None:
        """Exchange shares with the peers until cancelled.

        :param live: names of the entries that membership holds alive
        """
        loop = asyncio.get_running_loop()

        async def answer(sender: str, request: ShareRequest) -> ShareGrant:
            return self.lend(sender, request, loop.time())

        transport.handle(ShareRequest, answer)
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.observe_members(len({self.entry_id, *live()}))
            requests = self.wanted(loop.time())
            await asyncio.gather(*(self._ask(transport, one, live()) for one in requests))

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        accounts = {
            account: {
                "demand": round(state.demand, 3),
                "borrowed": len(state.shares.borrowed),
                "lent": len(state.shares.lent),
                "calls_left": round(state.buckets.calls.level, 2),
            }
            for account, state in sorted(self._accounts.items())
        }
        return {
            "counters": asdict(self.counters),
            "members": asdict(self.members),
            "accounts": accounts,
        }

    @property
    def _base(self) -> float:
        return 1.0 / self.members.divisor

    async def _ask(
        self, transport: PeerTransport, request: ShareRequest, live: Sequence[str]
    ) -> None:
        loop = asyncio.get_running_loop()
        account, lacking = request.account, request.share
        for peer in self.peers_to_ask(account, live, loop.time()):
            asked_at_s = loop.time()
            message = self.request(peer, account, lacking, asked_at_s)
            self.counters.share_requests += 1
            try:
                reply = await transport.request(peer, message, REQUEST_TIMEOUT_S)
            except PeerUnreachable:
                continue
            if not isinstance(reply, ShareGrant) or reply.account != account:
                continue
            self.borrow(peer, reply, asked_at_s, loop.time())
            lacking -= max(0.0, reply.share - (message.share - lacking))
            if lacking < MIN_WANTED:
                return

    def _state(self, account: str, spec: Account, now_s: float) -> _AccountState:
        state = self._accounts.get(account)
        if state is None or state.spec is _UNKNOWN:
            shares = state.shares if state else ShareBook()
            buckets = AccountBuckets.full(spec, shares.share(self._base, now_s))
            state = _AccountState(spec, buckets, now_s, now_s, shares)
            self._accounts[account] = state
        state.spec = spec
        return state

    def _idle_state(self, now_s: float) -> _AccountState:
        return _AccountState(_UNKNOWN, AccountBuckets.full(_UNKNOWN, 0.0), now_s, now_s)

    def _fill(self, state: _AccountState, now_s: float) -> None:
        share_s = state.shares.integral(self._base, state.filled_at_s, now_s)
        state.filled_at_s = now_s
        state.shares.expire(now_s)
        state.buckets.fill(state.spec, share_s, state.shares.share(self._base, now_s))


_UNKNOWN = Account(keys=[])
"""Specification of an account that this entry lends for and has had no call of."""
