"""Account limits: the sum of all shares under lost, late, doubled and reordered messages."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from godwitpath.config.model import Account
from godwitpath.limits.limiter import AccountLimiter, ShareGrant, ShareRequest
from godwitpath.limits.shares import PARTITION_FACTOR, MemberCount, ShareBook
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath_standin.fakes.peers import FakePeerNetwork

ENTRIES = 4
NAMES = [f"entry-{n}" for n in range(ENTRIES)]
SPEC = Account(keys=[], requests_per_s=20.0, tokens_per_s=1e9, burst_s=2.0)
WHO = st.integers(0, ENTRIES - 1)


class Loans(RuleBasedStateMachine):
    """Entries that all know their number and borrow from one another over a bad network."""

    factor = 1.0

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.limiters = [AccountLimiter(name, Random(1)) for name in NAMES]
        self.asked: list[tuple[int, int, ShareRequest, float]] = []
        self.granted: list[tuple[int, int, ShareGrant, float]] = []
        self.passed = 0
        for limiter in self.limiters:
            limiter.observe_members(ENTRIES, ENTRIES)

    @rule(who=WHO, calls=st.integers(1, 20))
    def call(self, who: int, calls: int) -> None:
        for _ in range(calls):
            self.passed += self.limiters[who].take("a", SPEC, 1, self.now_s) is None

    @rule(who=WHO, whom=WHO, share=st.floats(0.01, 1.0))
    def ask(self, who: int, whom: int, share: float) -> None:
        if who != whom:
            request = self.limiters[who].request(NAMES[whom], "a", share, self.now_s)
            self.asked.append((who, whom, request, self.now_s))

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), again=st.booleans())
    def bring_request(self, data: st.DataObject, again: bool) -> None:
        at = data.draw(st.integers(0, len(self.asked) - 1))
        who, whom, request, asked_at_s = self.asked[at] if again else self.asked.pop(at)
        grant = self.limiters[whom].lend(NAMES[who], request, self.now_s)
        self.granted.append((who, whom, grant, asked_at_s))

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), again=st.booleans())
    def bring_grant(self, data: st.DataObject, again: bool) -> None:
        at = data.draw(st.integers(0, len(self.granted) - 1))
        who, whom, grant, asked_at_s = self.granted[at] if again else self.granted.pop(at)
        self.limiters[who].borrow(NAMES[whom], grant, asked_at_s, self.now_s)

    @rule(passed_s=st.floats(0.05, 2.0))
    def wait(self, passed_s: float) -> None:
        self.now_s += passed_s

    @invariant()
    def shares_stay_within_the_factor(self) -> None:
        total = sum(limiter.share("a", self.now_s) for limiter in self.limiters)
        assert total <= self.factor + 1e-9

    @invariant()
    def calls_stay_within_the_factor(self) -> None:
        sustained = SPEC.requests_per_s * (self.now_s + SPEC.burst_s)
        assert self.passed <= self.factor * sustained + ENTRIES


class Partitions(Loans):
    """The same, while the entries hear more or fewer of one another."""

    factor = PARTITION_FACTOR

    @rule(who=WHO, live=st.integers(1, ENTRIES))
    def hear(self, who: int, live: int) -> None:
        self.limiters[who].observe_members(live)


PROFILE = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
TestLoans = Loans.TestCase
TestLoans.settings = PROFILE
TestPartitions = Partitions.TestCase
TestPartitions.settings = PROFILE


def test_smaller_loan_whose_grant_is_lost_does_not_free_the_larger_one() -> None:
    lender, borrower = ShareBook(), ShareBook()
    borrower.borrow("lender", lender.lend("borrower", 0.4, 0.0, 0.5, 0.0), 0.0, 0.0)
    lender.lend("borrower", 0.1, 0.0, 0.5, 1.0)
    for now_s in (1.0, 1.5, 1.99, 2.05, 3.0):
        assert lender.share(0.5, now_s) + borrower.share(0.5, now_s) <= 1.0 + 1e-9


def test_cut_off_entries_do_not_take_the_whole_limit() -> None:
    members = MemberCount()
    members.observe(8, 8)
    members.observe(1)
    assert members.divisor == 4.0
    members.observe(1, 1)
    assert members.divisor == 1.0


@pytest.mark.looptime
async def test_entry_with_all_the_calls_borrows_nearly_the_whole_limit() -> None:
    network = FakePeerNetwork(Random(1))
    limiters = [AccountLimiter(name, Random(n)) for n, name in enumerate(NAMES)]
    transports = {name: network.transport(name) for name in NAMES}
    for transport in transports.values():
        for name in NAMES:
            transport.connect(Peer(name, Address("127.0.0.1", 1)))
    tasks = [
        asyncio.create_task(limiter.run(transports[limiter.entry_id], lambda: NAMES))
        for limiter in limiters
    ]
    await asyncio.sleep(1.0)
    passed = 0
    for _ in range(1200):
        await asyncio.sleep(0.025)
        passed += limiters[0].take("a", SPEC, 1, asyncio.get_running_loop().time()) is None
    for task in tasks:
        task.cancel()
    # Without loans a quarter of the limit passes in the 30 s.
    assert 0.8 * SPEC.requests_per_s * 30.0 <= passed
    assert passed <= SPEC.requests_per_s * (30.0 + SPEC.burst_s) + 1


def test_refusal_says_when_a_call_will_pass() -> None:
    limiter = AccountLimiter("entry-0", Random(1))
    refusal = None
    while refusal is None:
        refusal = limiter.take("a", SPEC, 1, 0.0)
    assert limiter.take("a", SPEC, 1, float(refusal.retry_after_s)) is None


def test_large_call_passes_and_is_paid_back() -> None:
    spec = Account(keys=[], requests_per_s=10.0, tokens_per_s=1000.0, burst_s=1.0)
    limiter = AccountLimiter("entry-0", Random(1))
    assert limiter.take("a", spec, 5000, 0.0) is None
    refusal = limiter.take("a", spec, 1, 0.0)
    assert refusal is not None
    assert refusal.retry_after_s == pytest.approx(5, abs=1)
