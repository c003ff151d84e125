"""Guards against two valid holders of a duty under store failures, changed ranks and pauses."""

from __future__ import annotations

import asyncio
from random import Random

import looptime
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitpath.duties.duty import Duty
from godwitpath.duties.manager import LEASE_TTL_S, DutyManager
from godwitpath.membership.member import Member
from godwitpath.ports.engine import Address
from godwitpath.ranking import rank
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

DUTIES = [Duty("capacity", "planner-lm@r0"), Duty("rollout", "planner-lm@r0")]
MEMBERS = [Member(f"e{index}", "r0", f"r0-{index}", Address("test", index)) for index in range(3)]


class Entry:
    """A duty manager with its own connection to the store and its own view of the live entries."""

    def __init__(self, core: object, index: int, duties: list[Duty]) -> None:
        self.store = FakeKeyValueStore(core, 0.002, 30.0)  # type: ignore[arg-type]
        self.live_members = list(MEMBERS)
        self.keeper = DutyManager(
            self.store, MEMBERS[index], lambda: self.live_members, Random(index)
        )
        self.keeper.set_duties(duties)
        self.task = asyncio.create_task(self.keeper.run())

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def start_entries(duties: list[Duty]) -> list[Entry]:
    core = loop_core()
    return [Entry(core, index, duties) for index in range(len(MEMBERS))]


def holders(entries: list[Entry], duty: Duty) -> list[int]:
    return [
        index for index, each in enumerate(entries) if each.keeper.fencing_token(duty) is not None
    ]


def first_in_rank(duty: Duty) -> int:
    return MEMBERS.index(rank(duty.store_key, MEMBERS, lambda member: member.entry_id)[0])


@pytest.mark.looptime
class TestDutyManager:
    async def test_the_first_in_rank_holds_all_duties_with_one_renewal(self) -> None:
        """Guards against a renewal for each duty, too many calls for the store."""
        duties = [Duty("capacity", f"s{index}") for index in range(12)]
        entries = start_entries(duties)
        await asyncio.sleep(5)
        assert all(holders(entries, duty) == [first_in_rank(duty)] for duty in duties)
        calls_before = sum(each.keeper.counters.store_calls for each in entries)
        await asyncio.sleep(100)
        assert all(holders(entries, duty) == [first_in_rank(duty)] for duty in duties)
        renewals = sum(each.keeper.counters.renewals for each in entries)
        assert 60 <= renewals <= 100
        # The second in rank checks each duty once in the time of a lease.
        checks = len(duties) * (100 / LEASE_TTL_S + 1)
        calls = sum(each.keeper.counters.store_calls for each in entries)
        assert calls - calls_before <= renewals + checks
        for each in entries:
            await each.stop()

    async def test_a_failed_holder_is_replaced_with_a_greater_fencing_token(self) -> None:
        """Guards against a former holder that resumes and acts with a still valid fencing token."""
        duty = DUTIES[0]
        entries = start_entries([duty])
        await asyncio.sleep(2)
        first = first_in_rank(duty)
        fence = entries[first].keeper.fencing_token(duty)
        await entries[first].stop()
        others = [each for index, each in enumerate(entries) if index != first]
        for each in others:
            each.live_members = [member for member in MEMBERS if member is not MEMBERS[first]]
        await asyncio.sleep(LEASE_TTL_S + 12)
        replacements = [each.keeper.fencing_token(duty) for each in others]
        assert sum(each is not None for each in replacements) == 1
        assert fence is not None
        assert all(each.number > fence.number for each in replacements if each is not None)
        # The former holder resumes: its fencing token has expired on its own clock.
        assert fence.valid_for_s(asyncio.get_running_loop().time()) == 0
        assert entries[first].keeper.fencing_token(duty) is None
        for each in others:
            await each.stop()

    async def test_leaving_releases_duties_at_once(self) -> None:
        """Guards against duties of a leaving entry that have no holder until its lease lapses."""
        duty = DUTIES[0]
        entries = start_entries([duty])
        await asyncio.sleep(2)
        first = first_in_rank(duty)
        await entries[first].keeper.leave()
        assert entries[first].keeper.fencing_token(duty) is None
        for each in entries:
            each.live_members = [member for member in MEMBERS if member is not MEMBERS[first]]
        await asyncio.sleep(4)
        assert len(holders(entries, duty)) == 1
        for each in entries:
            await each.stop()

    async def test_the_second_replaces_a_first_without_access_to_the_store(self) -> None:
        """Guards against a duty without a holder when its first in rank cannot reach the store."""
        duty = DUTIES[0]
        entries = start_entries([duty])
        first = first_in_rank(duty)
        entries[first].store.outage = True
        await asyncio.sleep(3 * LEASE_TTL_S)
        assert len(holders(entries, duty)) == 1
        entries[first].store.outage = False
        await asyncio.sleep(3 * LEASE_TTL_S)
        assert len(holders(entries, duty)) == 1
        for each in entries:
            await each.stop()

    async def test_a_removed_duty_is_released(self) -> None:
        """Guards against a removed duty that stays held, with its key in the store."""
        entries = start_entries(DUTIES)
        await asyncio.sleep(2)
        for each in entries:
            each.keeper.set_duties(DUTIES[1:])
        assert holders(entries, DUTIES[0]) == []
        await asyncio.sleep(2)
        assert await entries[0].store.get(DUTIES[0].store_key) is None
        assert len(holders(entries, DUTIES[1])) == 1
        for each in entries:
            await each.stop()

    async def test_the_lease_is_valid_from_before_its_renewal_was_sent(self) -> None:
        """Guards against a lapsed lease in use, as its holder counts from a slow response."""
        duty = DUTIES[0]
        entries = start_entries([duty])
        await asyncio.sleep(2)
        holder = entries[first_in_rank(duty)]
        # A renewal takes effect after 4 s, and its response arrives after 8 s.
        holder.store.slow_s = 8.0
        await asyncio.sleep(LEASE_TTL_S)
        assert holder.keeper.counters.renewals > 0
        holder.store.outage = True
        other = next(each for each in entries if each is not holder)
        for _ in range(200):
            await asyncio.sleep(0.1)
            key = await other.store.get(duty.store_key)
            assert holder.keeper.fencing_token(duty) is None or key is not None
        for each in entries:
            await each.stop()

    async def test_a_key_with_a_pending_deletion_is_not_held_again(self) -> None:
        """Guards against a delayed deletion of a key after the entry acquired the duty again."""
        duty = DUTIES[0]
        entries = start_entries([duty])
        await asyncio.sleep(2)
        holder = entries[first_in_rank(duty)]
        holder.store.delay_effect_s = 7.0
        holder.live_members = [MEMBERS[index] for index in range(3) if entries[index] is not holder]
        await asyncio.sleep(2)
        assert holder.keeper.fencing_token(duty) is None
        holder.store.delay_effect_s = 0.0
        holder.live_members = list(MEMBERS)
        for _ in range(100):
            await asyncio.sleep(0.1)
            fence = holder.keeper.fencing_token(duty)
            key = await entries[0].store.get(duty.store_key)
            assert fence is None or (key is not None and key.revision == fence.number)
        assert fence is not None
        for each in entries:
            await each.stop()


class DutyManagersUnderFaults(RuleBasedStateMachine):
    """Two entries could hold a duty at a time, or a later holder could get a smaller token.

    The keepers have different views, slow and lost responses, outages, restarts and pauses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.greatest_by_duty: dict[Duty, tuple[int, int]] = {}
        self.loop.run_until_complete(self._set_up())

    async def _set_up(self) -> None:
        self.entries = start_entries(DUTIES)

    @rule(index=st.integers(0, 2), missing=st.lists(st.integers(0, 2), max_size=2))
    def change_view(self, index: int, missing: list[int]) -> None:
        self.entries[index].live_members = [
            member for position, member in enumerate(MEMBERS) if position not in missing
        ]

    @rule(
        index=st.integers(0, 2),
        slow_s=st.sampled_from([0.0, 0.0, 3.0, 9.0, 25.0]),
        fault=st.sampled_from(["none", "lost", "late", "outage"]),
    )
    def change_store(self, index: int, slow_s: float, fault: str) -> None:
        store = self.entries[index].store
        store.slow_s = slow_s
        store.delay_effect_s = 7.0 if fault == "late" else 0.0
        store.outage = fault == "outage"
        if fault == "lost":
            store.lose_next_responses(2)

    @rule(index=st.integers(0, 2), duties=st.sampled_from([DUTIES, DUTIES[1:], DUTIES]))
    def configure_duties(self, index: int, duties: list[Duty]) -> None:
        self.entries[index].keeper.set_duties(duties)

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        async def restart() -> None:
            former_entry = self.entries[index]
            await former_entry.stop()
            self.entries[index] = Entry(former_entry.store.core, index, DUTIES)

        self.loop.run_until_complete(restart())

    @rule(index=st.integers(0, 2), pause_s=st.sampled_from([1.0, 9.5, 30.0]))
    def pause(self, index: int, pause_s: float) -> None:
        """Pause an entry without notice, and check what it holds before it resumes."""

        async def pause() -> None:
            entry = self.entries[index]
            await entry.stop()
            await asyncio.sleep(pause_s)
            await self._check_fence()
            entry.task = asyncio.create_task(entry.keeper.run())

        self.loop.run_until_complete(pause())

    @rule(half_seconds=st.integers(1, 30))
    def advance(self, half_seconds: int) -> None:
        for _ in range(half_seconds):
            self.loop.run_until_complete(asyncio.sleep(0.5))
            self.check_one_valid_holder()

    @invariant()
    def check_one_valid_holder(self) -> None:
        self.loop.run_until_complete(self._check_fence())

    async def _check_fence(self) -> None:
        for duty in DUTIES:
            fences = [
                (each.keeper.fencing_token(duty), index) for index, each in enumerate(self.entries)
            ]
            valid_holders = [(fence.number, index) for fence, index in fences if fence is not None]
            assert len(valid_holders) <= 1, f"{duty} is held by {valid_holders}"
            if valid_holders:
                # A later holder has a greater token, so that orders of a former one are refused.
                assert valid_holders[0] >= self.greatest_by_duty.get(duty, (0, 0))
                self.greatest_by_duty[duty] = valid_holders[0]

    def teardown(self) -> None:
        async def stop() -> None:
            for each in self.entries:
                await each.stop()

        self.loop.run_until_complete(stop())
        self.loop.close()


TestDutyManagersUnderFaults = DutyManagersUnderFaults.TestCase
TestDutyManagersUnderFaults.settings = settings(
    derandomize=True, max_examples=8, stateful_step_count=25, deadline=None
)
