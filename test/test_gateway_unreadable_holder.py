"""Duties beside a key of the duty holder that the store returns unreadable."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

import test.test_gateway_duties as duties
from godwitpath.gateway.holder import HOLDER_KEY, LEASE_FACTOR, LEASE_MARGIN_S
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Put
from godwitpath.gateway.unreadable_holder import UnreadableHolder
from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import BOUNDS, Daemon, boot_clock, holder_indexes
from test.test_gateway_restore_schedules import until

__all__ = ["boot_clock"]

WAIT_S = BOUNDS.lease_s * LEASE_FACTOR + LEASE_MARGIN_S

ODD = b"odd"


def start(core: StoreCore, index: int) -> Daemon:
    daemon = Daemon(core, index, set())
    daemon.store.faults.unreadable_values = {ODD}
    return daemon


async def stop(daemons: list[Daemon]) -> None:
    for each in daemons:
        await each.stop()


@given(st.lists(st.tuples(st.floats(0.0, 4.0), st.integers(0, 3), st.booleans()), max_size=30))
def test_only_a_key_that_did_not_change_for_the_wait_is_replaced(
    reads: list[tuple[float, int, bool]],
) -> None:
    holder = UnreadableHolder(6.5)
    now_s = 0.0
    read: list[tuple[float, int]] = []
    for pause_s, revision, leased in reads:
        now_s += pause_s
        read.append((now_s, revision))
        if holder.note_read(revision, leased, now_s):
            assert revision
            assert not leased
            assert all(each == revision for read_at_s, each in read if read_at_s > now_s - 6.5)


def test_a_key_is_read_once_in_each_wait() -> None:
    holder = UnreadableHolder(6.5)
    assert holder.is_read_due(0.0)
    assert not holder.note_read(7, leased=False, now_s=0.1)
    assert not holder.is_read_due(6.5)
    assert holder.is_read_due(6.7)
    assert holder.note_read(7, leased=False, now_s=6.7)


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestUnreadableHolder:
    async def test_an_unreadable_key_of_another_writer_does_not_end_the_duties(self) -> None:
        core = StoreCore()
        core.put(HOLDER_KEY, ODD)
        daemons = [start(core, index) for index in range(3)]
        await asyncio.sleep(WAIT_S)
        assert holder_indexes(daemons) == []
        await asyncio.sleep(1.0)
        assert len(holder_indexes(daemons)) == 1
        await stop(daemons)

    async def test_a_holder_whose_key_another_writer_replaced_acts_beside_no_successor(
        self,
    ) -> None:
        core = StoreCore()
        daemons = [start(core, 0)]
        await until(lambda: daemons[0].holder.fencing_token() is not None)
        daemons += [start(core, 1), start(core, 2)]
        await asyncio.sleep(1.0)
        core.put(HOLDER_KEY, ODD)
        tokens = set[int]()
        for _ in range(2_000):
            await asyncio.sleep(0.01)
            held = [each.holder.fencing_token() for each in daemons]
            numbers = [each.number for each in held if each is not None]
            assert len(numbers) <= 1
            tokens.update(numbers)
        assert len(tokens) == 2
        assert len(holder_indexes(daemons)) == 1
        await stop(daemons)

    async def test_an_unreadable_key_under_a_lease_ends_with_it_and_not_before(self) -> None:
        core = StoreCore()
        lease_id = core.grant(20.0)
        core.write([], [Put(HOLDER_KEY, ODD, lease_id)])
        daemons = [start(core, 0), start(core, 1)]
        await asyncio.sleep(19.9)
        assert holder_indexes(daemons) == []
        await asyncio.sleep(1.1)
        assert len(holder_indexes(daemons)) == 1
        await stop(daemons)

    async def test_a_holder_whose_own_key_cannot_be_read_keeps_the_duties(self) -> None:
        core = StoreCore()
        daemons = [start(core, 0)]
        await until(lambda: daemons[0].holder.fencing_token() is not None)
        values = {core.items[HOLDER_KEY].value}
        daemons[0].store.faults.unreadable_values = values
        daemons.append(start(core, 1))
        daemons[1].store.faults.unreadable_values = values
        core.drop_history()
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert holder_indexes(daemons) == [0]
        await stop(daemons)

    async def test_an_unreadable_key_that_changes_is_not_replaced(self) -> None:
        core = StoreCore()
        daemons = [start(core, 0), start(core, 1)]
        for _ in range(10):
            core.put(HOLDER_KEY, ODD)
            await asyncio.sleep(3.0)
            assert holder_indexes(daemons) == []
        await stop(daemons)

    async def test_a_key_that_can_be_read_again_does_not_end_the_duties(self) -> None:
        """The store returns it unreadable once, and does not change it."""
        core = StoreCore()
        core.put(HOLDER_KEY, b"{}")
        daemon = Daemon(core, 0, set())
        daemon.store.faults.unreadable_keys = {HOLDER_KEY}
        await asyncio.sleep(1.0)
        daemon.store.faults.unreadable_keys = set()
        await asyncio.sleep(WAIT_S + BOUNDS.lease_s + 1.0)
        assert holder_indexes([daemon]) == [0]
        await daemon.stop()

    async def test_where_tokens_are_not_checked_no_unreadable_key_is_replaced(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(duties, "BOUNDS", Bounds(fencing_checked=False))
        core = StoreCore()
        core.put(HOLDER_KEY, ODD)
        daemon = start(core, 0)
        await asyncio.sleep(30.0)
        assert holder_indexes([daemon]) == []
        core.remove(HOLDER_KEY)
        await asyncio.sleep(2.0)
        assert holder_indexes([daemon]) == [0]
        await daemon.stop()
