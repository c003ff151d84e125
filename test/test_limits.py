"""Guards against account limits exceeded through lost, late, duplicated and reordered messages.

A share is the fraction of an account's limit that one entry may use. The state machines check that
the shares of all entries together stay within a bound. Where every entry knows the number of
entries, the bound is the limit itself; during a partition it is the limit times `PARTITION_FACTOR`.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from godwitpath.config.model import Account
from godwitpath.limits.limiter import AccountLimiter, ShareGrant, ShareRequest
from godwitpath.limits.loans import PARTITION_FACTOR, LoanTable, MemberCount
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath_standin.fakes.peers import FakePeerNetwork

ENTRIES = 4
NAMES = [f"entry-{n}" for n in range(ENTRIES)]
SPEC = Account(keys=[], requests_per_s=20.0, tokens_per_s=1e9, burst_s=2.0)
ENTRY_INDEX = st.integers(0, ENTRIES - 1)


class LossyExchange(RuleBasedStateMachine):
    """Guards against shares beyond the limit through lost, late, duplicated or reordered messages.

    Every entry knows the number of entries.
    """

    factor = 1.0

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.limiters = [AccountLimiter(name, Random(1)) for name in NAMES]
        self.requests: list[tuple[int, int, ShareRequest, float]] = []
        self.grants: list[tuple[int, int, ShareGrant, float]] = []
        self.passed_calls = 0
        for limiter in self.limiters:
            limiter.observe_members(ENTRIES, ENTRIES)

    @rule(entry=ENTRY_INDEX, calls=st.integers(1, 20))
    def make_calls(self, entry: int, calls: int) -> None:
        for _ in range(calls):
            self.passed_calls += self.limiters[entry].take("a", SPEC, 1, self.now_s) is None

    @rule(entry=ENTRY_INDEX, peer=ENTRY_INDEX, share=st.floats(0.01, 1.0))
    def ask(self, entry: int, peer: int, share: float) -> None:
        if entry != peer:
            request = self.limiters[entry].request(NAMES[peer], "a", share, self.now_s)
            self.requests.append((entry, peer, request, self.now_s))

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_request(self, data: st.DataObject, duplicate: bool) -> None:
        position = data.draw(st.integers(0, len(self.requests) - 1))
        entry, peer, request, asked_at_s = (
            self.requests[position] if duplicate else self.requests.pop(position)
        )
        grant = self.limiters[peer].grant(NAMES[entry], request, self.now_s)
        self.grants.append((entry, peer, grant, asked_at_s))

    @precondition(lambda self: self.grants)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_grant(self, data: st.DataObject, duplicate: bool) -> None:
        position = data.draw(st.integers(0, len(self.grants) - 1))
        entry, peer, grant, asked_at_s = (
            self.grants[position] if duplicate else self.grants.pop(position)
        )
        self.limiters[entry].apply_grant(NAMES[peer], grant, asked_at_s, self.now_s)

    @rule(elapsed_s=st.floats(0.05, 2.0))
    def wait(self, elapsed_s: float) -> None:
        self.now_s += elapsed_s

    @invariant()
    def shares_stay_within_the_factor(self) -> None:
        total = sum(limiter.share("a", self.now_s) for limiter in self.limiters)
        assert total <= self.factor + 1e-9

    @invariant()
    def calls_stay_within_the_factor(self) -> None:
        sustained = SPEC.requests_per_s * (self.now_s + SPEC.burst_s)
        assert self.passed_calls <= self.factor * sustained + ENTRIES


class Partition(LossyExchange):
    """Guards against shares beyond the partition bound when entries count members differently."""

    factor = PARTITION_FACTOR

    @rule(entry=ENTRY_INDEX, live=st.integers(1, ENTRIES))
    def observe_live(self, entry: int, live: int) -> None:
        self.limiters[entry].observe_members(live)


PROFILE = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
TestLossyExchange = LossyExchange.TestCase
TestLossyExchange.settings = PROFILE
TestPartition = Partition.TestCase
TestPartition.settings = PROFILE


def test_lost_grant_of_a_smaller_loan_does_not_free_the_larger_one() -> None:
    lender, borrower = LoanTable(), LoanTable()
    borrower.borrow("lender", lender.grant("borrower", 0.4, 0.0, 0.5, 0.0), 0.0, 0.0)
    lender.grant("borrower", 0.1, 0.0, 0.5, 1.0)
    for now_s in (1.0, 1.5, 1.99, 2.05, 3.0):
        assert lender.share(0.5, now_s) + borrower.share(0.5, now_s) <= 1.0 + 1e-9


def test_partitioned_entries_do_not_take_the_whole_limit() -> None:
    members = MemberCount()
    members.observe(8, 8)
    members.observe(1)
    assert members.divisor == 4.0
    members.observe(1, 1)
    assert members.divisor == 1.0


@pytest.mark.looptime
async def test_entry_with_all_calls_borrows_nearly_the_whole_limit() -> None:
    network = FakePeerNetwork(Random(1))
    limiters = [AccountLimiter(name, Random(n)) for n, name in enumerate(NAMES)]
    transports = {name: network.transport(name) for name in NAMES}
    for transport in transports.values():
        for name in NAMES:
            transport.add_peer(Peer(name, Address("127.0.0.1", 1)))
    tasks = [
        asyncio.create_task(limiter.run(transports[limiter.entry_id], lambda: NAMES))
        for limiter in limiters
    ]
    await asyncio.sleep(1.0)
    passed_calls = 0
    for _ in range(1200):
        await asyncio.sleep(0.025)
        passed_calls += limiters[0].take("a", SPEC, 1, asyncio.get_running_loop().time()) is None
    for task in tasks:
        task.cancel()
    # Without loans, one of the four entries could pass only a quarter of the limit in the 30 s.
    assert 0.8 * SPEC.requests_per_s * 30.0 <= passed_calls
    assert passed_calls <= SPEC.requests_per_s * (30.0 + SPEC.burst_s) + 1


def test_refusal_gives_the_time_until_a_call_passes() -> None:
    limiter = AccountLimiter("entry-0", Random(1))
    refusal = None
    while refusal is None:
        refusal = limiter.take("a", SPEC, 1, 0.0)
    assert limiter.take("a", SPEC, 1, float(refusal.retry_after_s)) is None


def test_call_larger_than_the_bucket_passes_and_leaves_a_debt() -> None:
    spec = Account(keys=[], requests_per_s=10.0, tokens_per_s=1000.0, burst_s=1.0)
    limiter = AccountLimiter("entry-0", Random(1))
    assert limiter.take("a", spec, 5000, 0.0) is None
    refusal = limiter.take("a", spec, 1, 0.0)
    assert refusal is not None
    assert refusal.retry_after_s == pytest.approx(5, abs=1)
