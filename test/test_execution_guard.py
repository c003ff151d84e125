"""Guards against a second execution of an idempotency key when the store or an entry fails."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

import looptime
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitpath.duties.manager import DutyManager
from godwitpath.execution.guard import ExecutionGuard
from godwitpath.execution.record import (
    BodyMismatch,
    ClaimRefused,
    ExecutionExists,
    decode,
    store_key,
)
from godwitpath.execution.sweep import (
    SWEEP_DUTY,
    SWEEP_INTERVAL_S,
    ExecutionSweeper,
    sweep,
)
from godwitpath.membership.member import Member
from godwitpath.ports.engine import Address
from godwitpath.records.record import Outcome
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

ENTRIES = 3
"""Number of entries that share the store."""

RETENTION_S = 100.0
"""Time for which a finished execution record is kept."""


def make_guard(store: FakeKeyValueStore, name: str = "e1", seed: int = 1) -> ExecutionGuard:
    clock = asyncio.get_running_loop().time
    return ExecutionGuard(store, name, "i1", random.Random(seed), clock)


@pytest.mark.looptime
class TestClaims:
    async def test_call_costs_two_writes_and_no_read(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        claim = await guard.claim("a", "k", "d", "r1")
        await guard.mark_sent(claim)
        assert await guard.finish(claim, Outcome(201, body=b"booked"))
        assert (store.counts.writes, store.counts.reads) == (2, 0)
        record = await guard.read("a", "k")
        assert record is not None
        assert record.outcome is not None
        assert (record.state, record.outcome.body) == ("finished", b"booked")

    async def test_second_claim_raises_with_the_record_of_the_first(self) -> None:
        core = loop_core()
        first = make_guard(FakeKeyValueStore(core), "e1", 1)
        second = make_guard(FakeKeyValueStore(core), "e2", 2)
        await first.claim("a", "k", "d", "r1")
        with pytest.raises(ExecutionExists) as exists:
            await second.claim("a", "k", "d", "r2")
        assert (exists.value.record.entry_id, exists.value.record.request_id) == ("e1", "r1")
        with pytest.raises(BodyMismatch):
            await second.claim("a", "k", "other", "r3")
        await second.claim("b", "k", "d", "r4")

    async def test_claim_with_a_lost_response_is_confirmed_by_its_attempt_id(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        store.lose_next_responses(1)
        claim = await guard.claim("a", "k", "d", "r1")
        assert guard.counters.lost_answers_settled == 1
        assert await guard.finish(claim, Outcome(200))

    async def test_restart_with_the_same_random_identifiers_cannot_claim_again(self) -> None:
        core = loop_core()
        first_incarnation = make_guard(FakeKeyValueStore(core), "e1", 1)
        await first_incarnation.claim("a", "k", "d", "r1")
        second_incarnation = make_guard(FakeKeyValueStore(core), "e1", 1)
        with pytest.raises(ExecutionExists):
            await second_incarnation.claim("a", "k", "d", "r1")

    async def test_claim_refused_during_a_slow_write_leaves_the_key_free(self) -> None:
        store = FakeKeyValueStore(timeout_s=0.1)
        guard = make_guard(store)
        task = asyncio.create_task(guard.run())
        # The write takes effect a second after it was issued, long after its timeout.
        store.slow_s = 1.0
        with pytest.raises(ClaimRefused):
            await guard.claim("a", "k", "d", "r1")
        store.slow_s = 0.0
        await asyncio.sleep(10)
        await guard.claim("a", "k", "d", "r2")
        task.cancel()

    async def test_delayed_claim_never_takes_effect_after_its_release(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        task = asyncio.create_task(guard.run())
        store.delay_effect_s = 30.0
        with pytest.raises(ClaimRefused):
            await guard.claim("a", "k", "d", "r1")
        store.delay_effect_s = 0.0
        await asyncio.sleep(10)
        found = await store.get(store_key("a", "k"))
        assert found is not None
        assert decode(found.value).state == "released"
        await asyncio.sleep(60)
        assert await store.get(store_key("a", "k")) == found
        task.cancel()

    async def test_outcome_is_written_after_a_store_outage(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        task = asyncio.create_task(guard.run())
        claim = await guard.claim("a", "k", "d", "r1")
        store.outage = True
        assert not await guard.finish(claim, Outcome(200, body=b"x"))
        await asyncio.sleep(60)
        store.outage = False
        await asyncio.sleep(6)
        record = await guard.read("a", "k")
        assert record is not None
        assert record.state == "finished"
        assert guard.dump()["pending_writes"] == 0
        task.cancel()

    async def test_pending_outcomes_stay_within_the_memory_bound(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        rng = random.Random(5)
        claims = [await guard.claim("a", f"k{index}", "d", "r") for index in range(40)]
        store.outage = True
        for claim in claims:
            await guard.finish(claim, Outcome(200, body=rng.randbytes(900_000)))
        assert guard.dump()["pending_bytes"] <= 16 * 1024 * 1024
        assert guard.dump()["pending_writes"] == 40

    async def test_outcome_too_large_for_a_value_keeps_its_status(self) -> None:
        guard = make_guard(FakeKeyValueStore())
        claim = await guard.claim("a", "k", "d", "r1")
        await guard.finish(claim, Outcome(200, body=random.Random(1).randbytes(2_000_000)))
        record = await guard.read("a", "k")
        assert record is not None
        assert record.outcome is not None
        assert (record.outcome_dropped, record.outcome.status) == (True, 200)

    async def test_claim_of_a_call_that_may_have_been_sent_cannot_be_released(self) -> None:
        guard = make_guard(FakeKeyValueStore())
        claim = await guard.claim("a", "k", "d", "r1")
        await guard.mark_sent(claim)
        with pytest.raises(ValueError, match="may have been sent"):
            await guard.release(claim)

    async def test_sweep_keeps_records_of_calls_that_may_have_been_sent(self) -> None:
        store = FakeKeyValueStore()
        guard = make_guard(store)
        done = await guard.claim("a", "done", "d", "r1")
        await guard.finish(done, Outcome(200))
        await guard.claim("a", "open", "d", "r2")
        await asyncio.sleep(RETENTION_S + 1)
        clock = asyncio.get_running_loop().time
        result = await sweep(store, RETENTION_S, lambda: True, clock)
        assert (result.removed, result.unresolved, result.complete) == (1, 1, True)
        assert await guard.read("a", "done") is None
        assert await guard.read("a", "open") is not None

    async def test_only_the_duty_holder_sweeps(self) -> None:
        store = FakeKeyValueStore()
        member = Member("e1", "r", "z", Address("test", 1))
        duty_manager = DutyManager(store, member, lambda: [member], random.Random(1))
        sweeper = ExecutionSweeper(store, duty_manager, RETENTION_S)
        tasks = [asyncio.create_task(duty_manager.run()), asyncio.create_task(sweeper.run())]
        await asyncio.sleep(SWEEP_INTERVAL_S + 1)
        assert sweeper.last_result is None
        duty_manager.set_duties([SWEEP_DUTY])
        await asyncio.sleep(SWEEP_INTERVAL_S + 1)
        assert sweeper.last_result is not None
        assert sweeper.last_result.complete
        for task in tasks:
            task.cancel()


class AtMostOnce(RuleBasedStateMachine):
    """Detects a second execution of a key while the outcome of the first is retained.

    The entries claim, pause, crash, send and finish calls over a store with faults. Executions are
    counted when a call is sent, as at the stand-in service.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.rng = random.Random(7)
        self.executions: dict[str, list[str]] = defaultdict(list)
        self.finished: dict[str, float] = {}
        self.refused: set[str] = set()
        self.violations: list[str] = []
        self.requests = 0
        self.loop.run_until_complete(self._start_guards())

    async def _start_guards(self) -> None:
        self.core = loop_core()
        self.stores = [FakeKeyValueStore(self.core, 0.002, 0.5) for _ in range(ENTRIES)]
        self.tasks: list[list[asyncio.Task[None]]] = [[] for _ in range(ENTRIES)]
        self.guards = [self._start_guard(index) for index in range(ENTRIES)]

    def _start_guard(self, index: int) -> ExecutionGuard:
        seed = self.rng.getrandbits(32)
        clock = asyncio.get_running_loop().time
        incarnation = str(seed)
        guard = ExecutionGuard(
            self.stores[index], f"e{index}", incarnation, random.Random(seed), clock
        )
        self.tasks[index] = [asyncio.create_task(guard.run())]
        return guard

    async def _call(
        self, index: int, key: str, request_id: str, pause_s: float, sends: bool
    ) -> None:
        guard = self.guards[index]
        try:
            claim = await guard.claim("a", key, "d", request_id)
        except ClaimRefused:
            self.refused.add(request_id)
            return
        except ExecutionExists:
            return
        await asyncio.sleep(pause_s)
        if not sends:
            await guard.release(claim)
            self.refused.add(request_id)
            return
        await guard.mark_sent(claim)
        self._execute(key, request_id)
        await asyncio.sleep(pause_s / 2)
        await guard.finish(claim, Outcome(200))
        self.finished[key] = self.loop.time()

    def _execute(self, key: str, request_id: str) -> None:
        previous = self.executions[key]
        outcome_retained = self.finished.get(key, float("inf")) + RETENTION_S > self.loop.time()
        if previous and outcome_retained:
            self.violations.append(f"{key} executed for {previous} and for {request_id}")
        self.finished.pop(key, None)
        previous.append(request_id)

    @rule(
        index=st.integers(0, ENTRIES - 1),
        key=st.sampled_from(["k1", "k2"]),
        pause_s=st.sampled_from([0.0, 0.01, 5.0, 200.0]),
        sends=st.sampled_from([True, True, True, False]),
    )
    def call(self, index: int, key: str, pause_s: float, sends: bool) -> None:
        self.requests += 1
        call = self._call(index, key, f"r{self.requests}", pause_s, sends)
        self.tasks[index].append(self.loop.create_task(call))
        self.loop.run_until_complete(asyncio.sleep(0))

    @rule(key=st.sampled_from(["k1", "k2"]))
    def concurrent_calls_of_all_entries(self, key: str) -> None:
        for index in range(ENTRIES):
            self.call(index, key, 0.01, True)

    @rule(
        index=st.integers(0, ENTRIES - 1),
        fault=st.sampled_from(["none", "lost", "late", "slow", "outage"]),
    )
    def fault(self, index: int, fault: str) -> None:
        store = self.stores[index]
        store.delay_effect_s = 3.0 if fault == "late" else 0.0
        store.slow_s = 1.5 if fault == "slow" else 0.0
        store.outage = fault == "outage"
        if fault == "lost":
            store.lose_next_responses(2)

    @rule(index=st.integers(0, ENTRIES - 1))
    def crash(self, index: int) -> None:
        for task in self.tasks[index]:
            task.cancel()

        async def restart() -> None:
            await asyncio.gather(*self.tasks[index], return_exceptions=True)
            self.guards[index] = self._start_guard(index)

        self.loop.run_until_complete(restart())

    @rule(index=st.integers(0, ENTRIES - 1), delay_s=st.sampled_from([0.0, RETENTION_S + 1]))
    def sweep(self, index: int, delay_s: float) -> None:
        clock = self.loop.time
        self.advance(delay_s)
        self.loop.run_until_complete(sweep(self.stores[index], RETENTION_S, lambda: True, clock))

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.4, 2.0, 20.0, 150.0]))
    def advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @invariant()
    def no_key_executed_twice(self) -> None:
        assert not self.violations

    @invariant()
    def no_refused_request_was_executed(self) -> None:
        executed = {
            request_id for request_ids in self.executions.values() for request_id in request_ids
        }
        assert not executed & self.refused

    def teardown(self) -> None:
        async def await_pending_writes() -> None:
            for store in self.stores:
                store.delay_effect_s = store.slow_s = 0.0
                store.outage = False
            await asyncio.sleep(500)
            # All pending writes must be confirmed after the faults are cleared.
            assert [guard.dump()["pending_writes"] for guard in self.guards] == [0] * ENTRIES
            for tasks in self.tasks:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(await_pending_writes())
        self.loop.close()


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=30, deadline=None
)
