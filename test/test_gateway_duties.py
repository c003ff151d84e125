"""Duties: a single holder, and one usage report per window."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given

from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.holder_entry import HOLDER_KEY, known_holder
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Item
from godwitpath.gateway.usage import UsageCounter
from godwitpath.gateway.usage_duty import UsageDuty
from godwitpath.gateway.usage_store import PIN_KEY, TERM_KEY, PinnedWindow, TermState
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from test.mutations import values_of_others

BOUNDS = Bounds(fencing_checked=True)


@pytest.fixture
def boot_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the boot-time clock of the duty holder by the clock of the event loop."""

    def now_s() -> float:
        return asyncio.get_running_loop().time()

    monkeypatch.setattr("godwitpath.gateway.holder.boot_time_s", now_s)
    monkeypatch.setattr("godwitpath.gateway.usage_duty.boot_time_s", now_s)


class Daemon:
    """One daemon, reduced to its member list and its `DutyHolder`.

    :ivar stale_incarnations: incarnations whose last report is 9 s old
    :ivar unreported_incarnations: incarnations that have never sent a report
    """

    def __init__(
        self,
        core: StoreCore,
        index: int,
        stale_incarnations: set[int],
        unreported_incarnations: set[int] | None = None,
    ) -> None:
        self.index = index
        self.unreported_incarnations = (
            unreported_incarnations if unreported_incarnations is not None else set()
        )
        self.store = FakeStore(core)
        self.stale_incarnations = stale_incarnations
        entry = MemberEntry("127.0.0.1", 1, "a", index)
        self.members = Members(self.store, f"d{index}", entry, Random(index))
        self.holder = DutyHolder(
            self.store, self.members, f"d{index}", BOUNDS, Random(index), self._report_age_s
        )
        self.tasks = [
            asyncio.create_task(self.members.run()),
            asyncio.create_task(self.holder.run()),
        ]

    def _report_age_s(self, name: str, incarnation: int) -> float | None:
        if incarnation in self.unreported_incarnations:
            return None
        return 9.0 if incarnation in self.stale_incarnations else 0.0

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


HOLDER_ENTRY = {"name": "d7", "incarnation": 2**63 - 1, "nonce": 5}


@given(values_of_others(HOLDER_ENTRY))
def test_any_entry_of_the_duty_holder_names_a_daemon_or_none(value: bytes) -> None:
    members = Members(FakeStore(StoreCore()), "d0", MemberEntry("127.0.0.1", 1, "a", 0), Random(0))
    members.note_written(Item(HOLDER_KEY, value, 9, 9))
    name, token = known_holder(members)
    assert (isinstance(name, str) and token == 9) or (name, token) == ("", 0)


def holder_indexes(daemons: list[Daemon]) -> list[int]:
    """Return the indexes of the daemons that hold the duties."""
    return [each.index for each in daemons if each.holder.fencing_token() is not None]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestHolder:
    async def test_one_daemon_holds_the_duty_and_keeps_its_token(self) -> None:
        """Guards against duty holders that replace each other without a failure and repeat work."""
        core = StoreCore()
        daemons = [Daemon(core, index, set()) for index in range(4)]
        await asyncio.sleep(2)
        [first] = holder_indexes(daemons)
        first_token = daemons[first].holder.fencing_token()
        await asyncio.sleep(30)
        assert holder_indexes(daemons) == [first]
        assert daemons[first].holder.fencing_token() == first_token
        for each in daemons:
            await each.stop()

    async def test_nobody_acquires_duties_whose_holder_cannot_be_read(self) -> None:
        """Guards against an unreadable item that is taken for duties without a holder."""
        core = StoreCore()
        first = Daemon(core, 0, set())
        await asyncio.sleep(1.0)
        assert holder_indexes([first]) == [0]
        second = Daemon(core, 1, set())
        second.store.faults.unreadable_keys = {HOLDER_KEY}
        calls_before = core.calls["grant"]
        await asyncio.sleep(20.0)
        assert holder_indexes([first, second]) == [0]
        # The only lease is that of the second daemon's registration.
        assert core.calls["grant"] == calls_before + 1
        await first.stop()
        core.remove(HOLDER_KEY)
        await asyncio.sleep(2.0)
        assert holder_indexes([second]) == [1]
        await second.stop()

    async def test_holder_without_reports_is_replaced_with_a_greater_token(self) -> None:
        """Guards against a failed duty holder that keeps the duties, or whose late calls still pass
        the fencing check because its successor has no greater token.
        """
        core = StoreCore()
        stale_incarnations: set[int] = set()
        daemons = [Daemon(core, index, stale_incarnations) for index in range(3)]
        await asyncio.sleep(2)
        [first] = holder_indexes(daemons)
        previous_token = daemons[first].holder.fencing_token()
        await daemons[first].stop()
        stale_incarnations.add(first)
        await asyncio.sleep(1.5)
        others = [each for each in daemons if each.index != first]
        [second] = holder_indexes(others)
        new_token = daemons[second].holder.fencing_token()
        assert previous_token is not None
        assert new_token is not None
        assert new_token.number > previous_token.number
        for each in others:
            await each.stop()

    async def test_a_holder_key_that_cannot_be_read_is_replaced(self) -> None:
        """Guards against a deployment without duties beside one odd value of the key."""
        core = StoreCore()
        core.put(HOLDER_KEY, b'{"q":' + b"[" * 100_000)
        daemon = Daemon(core, 0, set())
        await asyncio.sleep(5.0)
        assert holder_indexes([daemon]) == [0]
        await daemon.stop()

    async def test_new_holder_has_time_to_send_its_first_report(self) -> None:
        """Guards against replacing a new duty holder before its first report arrives.

        In a large fleet, the first reports of a new holder arrive later than the change of the
        holder's key. Five daemons then held the duties at once.
        """
        core = StoreCore()
        unreported_incarnations: set[int] = set()
        daemons = [Daemon(core, index, set(), unreported_incarnations) for index in range(4)]
        unreported_incarnations.update(range(4))
        await asyncio.sleep(BOUNDS.lease_s - 0.5)
        [first] = holder_indexes(daemons)
        assert [change.key for change in core.changes_since(HOLDER_KEY, 0)] == [HOLDER_KEY]
        # A holder that never sends a report is replaced after the platform's lease time.
        await daemons[first].stop()
        others = [each for each in daemons if each.index != first]
        await asyncio.sleep(2.0)
        assert len(holder_indexes(others)) == 1
        for each in others:
            await each.stop()

    async def test_replaced_holder_stops_when_it_learns_of_its_successor(self) -> None:
        """Guards against a replaced duty holder that still runs and acts beside its successor."""
        core = StoreCore()
        stale_incarnations: set[int] = set()
        daemons = [Daemon(core, index, stale_incarnations) for index in range(3)]
        await asyncio.sleep(2)
        [first] = holder_indexes(daemons)
        stale_incarnations.add(first)
        await asyncio.sleep(2)
        assert holder_indexes(daemons) != [first]
        assert len(holder_indexes(daemons)) == 1
        for each in daemons:
            await each.stop()

    async def test_holder_that_cannot_renew_stops_before_its_lease_expires(self) -> None:
        """Guards against a duty holder that cannot reach the store and still acts after its lease
        has expired, when another daemon may hold the duties.
        """
        core = StoreCore()
        daemon = Daemon(core, 0, set())
        await asyncio.sleep(2)
        daemon.store.faults.no_response = True
        await asyncio.sleep(2 * BOUNDS.lease_s - 0.4)
        assert daemon.holder.fencing_token() is None
        core.expire()
        await daemon.stop()

    async def test_lost_response_to_the_acquisition_is_resolved_by_a_read(self) -> None:
        """Guards against duties that no daemon performs.

        If the response to a successful acquisition is lost, the daemon is the duty holder in the
        store, but would not know it without reading the holder's key.
        """
        core = StoreCore()
        daemon = Daemon(core, 0, set())
        daemon.store.faults.write_responses_to_lose = 3
        await asyncio.sleep(6)
        fencing_token = daemon.holder.fencing_token()
        assert fencing_token is not None
        assert fencing_token.number == core.items[HOLDER_KEY].revision
        await daemon.stop()

    async def test_leaving_holder_releases_the_duty_before_its_lease_expires(self) -> None:
        """Guards against duties without a holder until the lease of a stopped daemon expires."""
        core = StoreCore()
        daemons = [Daemon(core, index, set()) for index in range(2)]
        await asyncio.sleep(2)
        [first] = holder_indexes(daemons)
        await daemons[first].holder.release()
        await asyncio.sleep(1)
        assert holder_indexes(daemons) == [1 - first]
        for each in daemons:
            await each.stop()


class LoopClock:
    """Wall clock that runs with the clock of the event loop."""

    def now_s(self) -> float:
        return 1000.0 + asyncio.get_running_loop().time()


def make_usage_duty(
    daemon: Daemon, cloud: FakeCloud, peers: dict[int, dict[str, int]]
) -> UsageDuty:
    usage = UsageCounter(5.0)
    usage.clock = LoopClock()  # type: ignore[assignment]
    usage.counts_by_window = {200: {"hule": 3}, 201: {"hule": 1}}
    return UsageDuty(
        daemon.store,
        cloud,
        daemon.holder,
        usage,
        BOUNDS,
        lambda: {f"own/{daemon.members.incarnation}": usage.counts_by_window, "peer/77": peers},
    )


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestUsage:
    async def test_each_window_is_reported_once_with_the_sum_of_all_daemons(self) -> None:
        """Guards against missing usage of other daemons, and two reports of one window."""
        core, cloud = StoreCore(), FakeCloud()
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(
            make_usage_duty(daemon, cloud, {200: {"hule": 2, "fida": 7}}).run()
        )
        await asyncio.sleep(16)
        assert cloud.usage[200] == [{"hule": 5, "fida": 7}]
        assert cloud.usage[201] == [{"hule": 1}]
        duty.cancel()
        await daemon.stop()

    async def test_successor_reports_the_pinned_counts_instead_of_its_own(self) -> None:
        """Guards against two reports of a window with other counts after a change of the holder.

        The store keeps the counts that the previous holder pinned before its report.
        """
        core, cloud = StoreCore(), FakeCloud()
        core.put(PIN_KEY, msgspec.json.encode(PinnedWindow(200, {"hule": 40})))
        core.put(TERM_KEY, msgspec.json.encode(TermState(1, 201, pin_is_final=True)))
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(make_usage_duty(daemon, cloud, {}).run())
        await asyncio.sleep(16)
        assert cloud.usage[200] == [{"hule": 40}]
        assert cloud.usage[201] == [{"hule": 1}]
        duty.cancel()
        await daemon.stop()

    async def test_counts_survive_the_loss_of_all_daemons(self) -> None:
        """Guards against the loss of unreported usage when all daemons are killed."""
        core, cloud = StoreCore(), FakeCloud()
        stale_incarnations: set[int] = set()
        daemon = Daemon(core, 0, stale_incarnations)
        duty = make_usage_duty(daemon, cloud, {200: {"hule": 2}, 201: {"fida": 6}})
        task = asyncio.create_task(duty.run())
        await asyncio.sleep(7.0)
        assert 200 not in cloud.usage
        # All daemons are killed and start again without counts.
        task.cancel()
        await daemon.stop()
        stale_incarnations.add(0)
        restarted = Daemon(core, 1, stale_incarnations)
        restarted_duty = make_usage_duty(restarted, cloud, {})
        restarted_duty._usage.counts_by_window.clear()
        restarted_duty._usage.counts_by_window[201] = {"hule": 1}
        task = asyncio.create_task(restarted_duty.run())
        await asyncio.sleep(9.0)
        assert cloud.usage[200] == [{"hule": 5}]
        assert cloud.usage[201] == [{"hule": 2, "fida": 6}]
        task.cancel()
        await restarted.stop()

    async def test_lost_responses_do_not_change_reported_counts(self) -> None:
        """Guards against a retry after a lost response that reports a window with other counts."""
        core, cloud = StoreCore(), FakeCloud(responses_to_lose=3)
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(make_usage_duty(daemon, cloud, {}).run())
        await asyncio.sleep(1)
        daemon.store.faults.write_responses_to_lose = 1
        await asyncio.sleep(25)
        assert all(len(counts) == 1 for counts in cloud.usage.values())
        assert {200, 201} <= cloud.usage.keys()
        duty.cancel()
        await daemon.stop()

    async def test_delayed_write_of_the_pin_leaves_one_count(self) -> None:
        """Guards against a second report with counts that changed during the write of the pin."""
        core, cloud = StoreCore(), FakeCloud()
        daemon = Daemon(core, 0, set())
        duty = make_usage_duty(daemon, cloud, {})
        task = asyncio.create_task(duty.run())
        await asyncio.sleep(7.9)
        daemon.store.faults.write_delay_s = 2.0
        await asyncio.sleep(1.0)
        duty._usage.counts_by_window[200]["hule"] = 9
        daemon.store.faults.write_delay_s = 0.0
        await asyncio.sleep(12)
        assert all(len(counts) == 1 for counts in cloud.usage.values())
        task.cancel()
        await daemon.stop()
