"""Guards against missed latency targets, reservations that are not kept, and starving calls."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.admission.decide import (
    AdmissionPolicy,
    AdmissionQuery,
    Admit,
    Prediction,
    Queue,
    QueueState,
    Refuse,
)
from godwitpath.admission.queue import EXTRA_WAIT_S, AdmissionQueue, CallQueue, QueueExpired
from godwitpath.admission.reservation_exchange import ReservationExchange
from godwitpath.admission.reservations import ReservationTable
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath_standin.fakes.peers import FakePeerNetwork

pytestmark = pytest.mark.looptime
FITS = Prediction(0.1, 0.02)
FULL = Prediction(0.1, 0.071)
BUSY = QueueState(waiting=50, ahead=50, capacity=50, released_per_s=1.0)


def admission_query(
    digest: str = "d", priority: int = 0, time_left_s: float = 60.0
) -> AdmissionQuery:
    return AdmissionQuery("s", "a", digest, priority, time_left_s)


def test_call_that_fits_is_admitted() -> None:
    assert AdmissionPolicy().decide(admission_query(), FITS, QueueState(), 0.0) == Admit()


def test_call_that_cannot_meet_its_deadline_is_refused() -> None:
    decision = AdmissionPolicy().decide(admission_query(time_left_s=1.0), FITS, QueueState(), 0.0)
    assert isinstance(decision, Refuse)


def test_retry_at_its_reserved_time_precedes_fresh_calls() -> None:
    admission = AdmissionPolicy()
    refused = admission.decide(admission_query("mine"), FULL, BUSY, 0.0)
    assert isinstance(refused, Refuse)
    retry_at_s = float(refused.retry_after_s)
    assert isinstance(admission.decide(admission_query("fresh"), FULL, BUSY, retry_at_s), Refuse)
    assert admission.decide(admission_query("mine"), FULL, BUSY, retry_at_s) == Admit(reserved=True)


def test_reservation_is_redeemed_at_another_entry_and_only_once() -> None:
    first, second = ReservationTable(), ReservationTable()
    retry_after_s = first.book("mine", 0, 1.0, 0.0)
    second.apply_updates(first.take_updates())
    assert second.redeem("mine", float(retry_after_s))
    first.apply_updates(second.take_updates())
    assert not first.redeem("mine", float(retry_after_s))


async def test_reservations_are_sent_to_the_peers() -> None:
    network = FakePeerNetwork(Random(1))
    admissions = {name: AdmissionPolicy() for name in ("entry-0", "entry-1")}
    tasks = []
    for name, admission in admissions.items():
        exchange = ReservationExchange(
            lambda admission=admission: {"s": admission}, lambda _, admission=admission: admission
        )
        live = [other for other in admissions if other != name]
        transport = network.transport(name)
        transport.add_peer(Peer(live[0], Address("127.0.0.1", 1)))
        exchange_run = exchange.run(transport, lambda live=live: live)
        tasks.append(asyncio.create_task(exchange_run))
    await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    refused = admissions["entry-0"].decide(admission_query("mine"), FULL, BUSY, loop.time())
    assert isinstance(refused, Refuse)
    await asyncio.sleep(refused.retry_after_s)
    retried = admissions["entry-1"].decide(admission_query("mine"), FULL, BUSY, loop.time())
    assert retried == Admit(reserved=True)
    for task in tasks:
        task.cancel()


def test_fresh_calls_leave_capacity_for_due_reservations() -> None:
    admission = AdmissionPolicy()
    admission.reservations.book("mine", 0, 1.0, 0.0)
    near_target = Prediction(0.1, 0.053, between_per_call_s=0.002)
    assert admission.fits(admission_query(), near_target, False, 60.0)
    assert not admission.fits(admission_query(), near_target, False, 2.0)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.integers(1, 60), st.floats(1.0, 20.0))
def test_reservations_stay_within_the_rate_they_are_booked_against(
    calls: int, per_s: float
) -> None:
    table = ReservationTable()
    due = [table.book(str(n), 0, per_s, 0.0) for n in range(calls)]
    for second in range(1, max(due) + 1):
        # Times are rounded up to whole seconds, so one call more can fall into a second.
        assert due.count(second) <= 0.5 * per_s + 1.0


def test_queued_call_must_meet_its_target_after_the_wait() -> None:
    slow = QueueState(waiting=9, ahead=9, capacity=50, released_per_s=1.0)
    quick = QueueState(waiting=9, ahead=9, capacity=50, released_per_s=20.0)
    assert isinstance(
        AdmissionPolicy().decide(admission_query(priority=1), FULL, slow, 0.0), Refuse
    )
    assert isinstance(
        AdmissionPolicy().decide(admission_query(priority=1), FULL, quick, 0.0), Queue
    )


def test_lower_priorities_wait_longer_but_do_not_starve() -> None:
    call_queue = CallQueue()
    batch = call_queue.add(2, 600.0, 0.0)
    for n in range(10):
        call_queue.add(0, 600.0, n * 10.0)
    order = [call_queue.pop(100.0) for _ in range(len(call_queue))]
    before = [waiting for waiting in order[: order.index(batch)] if waiting.priority == 0]
    assert 0 < len(before) <= EXTRA_WAIT_S[2] / 10.0 + 1


async def test_queue_releases_by_priority_and_expires() -> None:
    queue = AdmissionQueue()
    released: list[int] = []

    async def call(priority: int, max_wait_s: float) -> None:
        await queue.wait(priority, max_wait_s)
        released.append(priority)

    waiting = [asyncio.create_task(call(level, 60.0)) for level in (2, 1, 0)]
    late = asyncio.create_task(call(2, 0.5))
    await asyncio.sleep(1.0)
    with pytest.raises(QueueExpired):
        await late
    for _ in waiting:
        assert queue.release(lambda priority: True) == 1
        await asyncio.sleep(0)
    await asyncio.gather(*waiting)
    assert released == [0, 1, 2]
    assert queue.release(lambda priority: True) == 0
