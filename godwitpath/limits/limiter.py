"""Rate limiter of client accounts at one entry; entries grant each other unused shares.

A share is a fraction of an account's limit. The base share of each entry is one divided by the
number of entries. :mod:`godwitpath.limits.loans` describes how shares are lent.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from godwitpath.config.model import Account
from godwitpath.limits.bucket import AccountBuckets
from godwitpath.limits.loans import LoanTable, MemberCount
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable

EXCHANGE_INTERVAL_S = 0.25
"""Time between two rounds in which an entry requests shares from its peers."""

REQUEST_TIMEOUT_S = 0.5
"""Longest wait for a peer's reply to a share request."""

MAX_PEERS_PER_ROUND = 4
"""Most peers that receive a share request in a round, unless more loans are to be renewed."""

DEMAND_WEIGHT = 0.05
"""Weight of the latest round in the moving average of an account's demand."""

HEADROOM_FACTOR = 1.05
"""Factor on an account's measured demand, giving the share that an entry keeps or requests."""

RESERVED_FRACTION = 0.1
"""Fraction of an entry's base share that the entry never grants to its peers."""

MIN_REQUESTED_SHARE = 0.005
"""Smallest share of a limit that an entry requests from its peers."""

IDLE_TIMEOUT_S = 60.0
"""Time without calls after which an entry drops the state of an account."""


@peer_message
class ShareRequest(PeerMessage):
    """Requests a share of an account's limit.

    :ivar share: total share requested, including what the peer has granted already
    """

    account: str
    share: float


@peer_message
class ShareGrant(PeerMessage):
    """Grants a share of an account's limit.

    :ivar share: total share granted, 0 for none
    """

    account: str
    share: float


@dataclass(slots=True, frozen=True)
class LimitRefusal:
    """Refusal of a call over its account's limit.

    :ivar reason: short reason for the caller
    :ivar retry_after_s: whole seconds until a call would pass
    """

    reason: str
    retry_after_s: int


@dataclass(slots=True)
class LimiterCounters:
    """Numbers of calls and share messages since the start of the process.

    :ivar taken: calls that passed
    :ivar refused: calls refused over the limit of their account
    :ivar share_requests: requests sent to peers
    :ivar share_grants: requests of peers that were granted
    """

    taken: int = 0
    refused: int = 0
    share_requests: int = 0
    share_grants: int = 0


@dataclass(slots=True)
class _AccountState:
    spec: Account
    buckets: AccountBuckets
    filled_at_s: float
    last_call_at_s: float
    shares: LoanTable = field(default_factory=LoanTable)
    offered_limit_s: float = 0.0
    demand: float = 0.0


class AccountLimiter:
    """Enforces the configured rates of accounts across all entries.

    :ivar entry_id: name of this entry
    """

    def __init__(self, entry_id: str, rng: Random) -> None:
        self.entry_id = entry_id
        self.counters = LimiterCounters()
        self.members = MemberCount()
        self._rng = rng
        self._accounts: dict[str, _AccountState] = {}

    def observe_members(self, live: int, listed: int | None = None) -> None:
        """Update the number of entries, this one included.

        :param live: entries that membership counts as alive
        :param listed: entries in the platform's list, None unless it was just read
        """
        self.members.observe(live, listed)

    def take(self, account: str, spec: Account, tokens: int, now_s: float) -> LimitRefusal | None:
        """Charge a call to an account's limit.

        :param tokens: prompt tokens plus the requested tokens of the response
        :returns: the refusal of a call over the limit, None when the call passes
        """
        state = self._state(account, spec, now_s)
        state.last_call_at_s = now_s
        state.offered_limit_s += max(1.0 / spec.requests_per_s, tokens / spec.tokens_per_s)
        self._fill(state, now_s)
        share = state.shares.share(self._base_share, now_s)
        wait_s = state.buckets.wait_s(spec, share)
        if wait_s > 0.0:
            self.counters.refused += 1
            reason = f"account {account} is over its rate"
            return LimitRefusal(reason, max(1, math.ceil(wait_s)))
        state.buckets.take(tokens)
        self.counters.taken += 1
        return None

    def share(self, account: str, now_s: float) -> float:
        """Return the share of an account's limit that this entry may use now."""
        state = self._accounts.get(account)
        return state.shares.share(self._base_share, now_s) if state else self._base_share

    def share_shortfalls(self, now_s: float) -> list[ShareRequest]:
        """Update the demand of every account, and return a request for each lacking share.

        This is called once per round.

        :returns: requests for the lacking share alone, without what peers have granted already
        """
        requests = []
        for account, state in list(self._accounts.items()):
            has_loans = state.shares.granted or state.shares.borrowed
            if now_s - state.last_call_at_s > IDLE_TIMEOUT_S and not has_loans:
                del self._accounts[account]
                continue
            self._fill(state, now_s)
            offered_share = state.offered_limit_s / EXCHANGE_INTERVAL_S
            state.offered_limit_s = 0.0
            state.demand += DEMAND_WEIGHT * (offered_share - state.demand)
            shortfall = HEADROOM_FACTOR * state.demand - state.shares.stable_share(
                self._base_share, now_s
            )
            if shortfall >= MIN_REQUESTED_SHARE:
                requests.append(ShareRequest(account, shortfall))
        return requests

    def grant(self, borrower: str, request: ShareRequest, now_s: float) -> ShareGrant:
        """Grant a peer the requested share as far as this entry can spare it."""
        state = self._accounts.get(request.account)
        if state is None:
            state = self._accounts[request.account] = self._unknown_account_state(now_s)
        self._fill(state, now_s)
        needed_share = max(HEADROOM_FACTOR * state.demand, RESERVED_FRACTION * self._base_share)
        share = state.shares.grant(borrower, request.share, needed_share, self._base_share, now_s)
        self.counters.share_grants += share > 0.0
        return ShareGrant(request.account, share)

    def request(self, lender: str, account: str, shortfall: float, now_s: float) -> ShareRequest:
        """Return the request to send to a peer, which includes what the peer has granted already.

        :param shortfall: share that this entry needs beyond its stable share
        """
        state = self._accounts.get(account)
        borrowed_share = state.shares.stable_share_from(lender, now_s) if state else 0.0
        return ShareRequest(account, shortfall + borrowed_share)

    def apply_grant(self, lender: str, grant: ShareGrant, asked_at_s: float, now_s: float) -> None:
        """Record the share that a peer has granted.

        :param asked_at_s: time at which the request was sent
        """
        state = self._accounts.get(grant.account)
        if state is not None:
            self._fill(state, now_s)
            state.shares.borrow(lender, grant.share, asked_at_s, now_s)

    def peers_to_ask(self, account: str, live: Sequence[str], now_s: float) -> list[str]:
        """Return the peers to ask in a round: lenders of loans to renew, then others at random."""
        others = [entry_id for entry_id in live if entry_id != self.entry_id]
        state = self._accounts.get(account)
        lenders_to_renew = state.shares.lenders_to_renew(now_s) if state else []
        live_lenders = [name for name in lenders_to_renew if name in others]
        other_peers = [name for name in others if name not in live_lenders]
        self._rng.shuffle(other_peers)
        return [*live_lenders, *other_peers][: max(MAX_PEERS_PER_ROUND, len(live_lenders))]

    async def run(self, transport: PeerTransport, live: Callable[[], Sequence[str]]) -> None:
        """Exchange shares with the peers until cancelled.

        :param live: returns the names of the entries that membership counts as alive
        """
        loop = asyncio.get_running_loop()

        async def answer(sender: str, request: ShareRequest) -> ShareGrant:
            return self.grant(sender, request, loop.time())

        transport.register_handler(ShareRequest, answer)
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.observe_members(len({self.entry_id, *live()}))
            requests = self.share_shortfalls(loop.time())
            await asyncio.gather(
                *(self._request_shares(transport, request, live()) for request in requests)
            )

    def dump(self) -> dict[str, Any]:
        """Return the content for the state dump."""
        accounts = {
            account: {
                "demand": round(state.demand, 3),
                "borrowed": len(state.shares.borrowed),
                "lent": len(state.shares.granted),
                "calls_left": round(state.buckets.calls.available, 2),
            }
            for account, state in sorted(self._accounts.items())
        }
        return {
            "counters": asdict(self.counters),
            "members": asdict(self.members),
            "accounts": accounts,
        }

    @property
    def _base_share(self) -> float:
        return 1.0 / self.members.divisor

    async def _request_shares(
        self, transport: PeerTransport, request: ShareRequest, live: Sequence[str]
    ) -> None:
        loop = asyncio.get_running_loop()
        account, shortfall = request.account, request.share
        for peer in self.peers_to_ask(account, live, loop.time()):
            asked_at_s = loop.time()
            message = self.request(peer, account, shortfall, asked_at_s)
            self.counters.share_requests += 1
            try:
                reply = await transport.request(peer, message, REQUEST_TIMEOUT_S)
            except PeerUnreachable:
                continue
            if not isinstance(reply, ShareGrant) or reply.account != account:
                continue
            self.apply_grant(peer, reply, asked_at_s, loop.time())
            shortfall -= max(0.0, reply.share - (message.share - shortfall))
            if shortfall < MIN_REQUESTED_SHARE:
                return

    def _state(self, account: str, spec: Account, now_s: float) -> _AccountState:
        state = self._accounts.get(account)
        if state is None or state.spec is _UNKNOWN_ACCOUNT:
            shares = state.shares if state else LoanTable()
            buckets = AccountBuckets.full(spec, shares.share(self._base_share, now_s))
            state = _AccountState(spec, buckets, now_s, now_s, shares)
            self._accounts[account] = state
        state.spec = spec
        return state

    def _unknown_account_state(self, now_s: float) -> _AccountState:
        return _AccountState(
            _UNKNOWN_ACCOUNT, AccountBuckets.full(_UNKNOWN_ACCOUNT, 0.0), now_s, now_s
        )

    def _fill(self, state: _AccountState, now_s: float) -> None:
        share_s = state.shares.share_seconds(self._base_share, state.filled_at_s, now_s)
        state.filled_at_s = now_s
        state.shares.expire(now_s)
        state.buckets.fill(state.spec, share_s, state.shares.share(self._base_share, now_s))


_UNKNOWN_ACCOUNT = Account(keys=[])
"""Specification used for an account that had no calls at this entry, to grant peers its share."""
