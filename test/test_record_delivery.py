"""Guards against lost, repeated or misdelivered text when entries or messages fail.

Every accepted generation reaches its own caller completely and without repeated text.
"""

from __future__ import annotations

import asyncio

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from godwitpath.records.record import RequestRecord
from test.record_fleet import DETECTION_S, Reader, RecordFleet, close_loop, complete_text

SIZE = 8
"""Number of entries."""

NAMES = [f"e{index}" for index in range(SIZE)]
SETTLED_S = DETECTION_S + 6.0
"""Time within which every record has a new backup after entries failed."""


class WholeDelivery(RuleBasedStateMachine):
    """Kills and freezes entries and loses messages while callers read their generations."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.records: list[RequestRecord] = []
        self.readers: list[tuple[RequestRecord, Reader, asyncio.Task[None]]] = []
        self.frozen = ""
        self.last_fault_at_s = 0.0
        self.loop.run_until_complete(self._set_up())

    async def _set_up(self) -> None:
        self.fleet = RecordFleet(SIZE)

    def _live_entry(self, position: int) -> str:
        names = [name for name in self.fleet.nodes if name != self.frozen]
        return names[position % len(names)]

    def _settled(self) -> bool:
        return not self.frozen and self.loop.time() - self.last_fault_at_s >= SETTLED_S

    @rule(position=st.integers(0, 7), account=st.sampled_from(["a", "b"]), key=st.booleans())
    def accept(self, position: int, account: str, key: bool) -> None:
        name = self._live_entry(position)
        idempotency_key = f"k{len(self.records)}" if key else ""

        async def accept() -> None:
            node = self.fleet.nodes[name]
            record = node.record(account, idempotency_key)
            if await node.store.accept(record):
                node.start_work(record)
                self._read(record, name)

        self.loop.run_until_complete(accept())

    def _read(self, record: RequestRecord, name: str) -> None:
        self.records.append(record)
        reader = Reader(self.fleet, record)
        task = self.loop.create_task(reader.read(name))
        self.readers.append((record, reader, task))

    @precondition(lambda self: self.records)
    @rule(position=st.integers(0, 7), index=st.integers(0, 50))
    def read_again(self, position: int, index: int) -> None:
        record = self.records[index % len(self.records)]
        self._read(record, self._live_entry(position))

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        duplication=st.sampled_from([0.0, 0.5]),
        jitter_s=st.sampled_from([0.0, 0.02, 0.2]),
    )
    def change_links(self, loss: float, duplication: float, jitter_s: float) -> None:
        faults = self.fleet.network.faults
        faults.loss, faults.duplication, faults.jitter_s = loss, duplication, jitter_s

    @precondition(lambda self: self._settled() and len(self.fleet.nodes) > 4)
    @rule(position=st.integers(0, 7), zone=st.booleans())
    def kill(self, position: int, zone: bool) -> None:
        name = self._live_entry(position)
        names = self.fleet.zone_entries(name) if zone else [name]
        self.loop.run_until_complete(self.fleet.kill(*names))
        self.last_fault_at_s = self.loop.time()

    @precondition(lambda self: self._settled())
    @rule(position=st.integers(0, 7))
    def freeze(self, position: int) -> None:
        """Disconnect an entry until the others consider it failed; it keeps running meanwhile."""
        self.frozen = self._live_entry(position)
        self.fleet.network.pause(self.frozen)
        member = self.fleet.nodes[self.frozen].member
        self.loop.call_later(DETECTION_S, self.fleet.announce_state, member, "gone")

    @precondition(lambda self: self.frozen)
    @rule()
    def wake(self) -> None:
        self.loop.run_until_complete(self._wake())
        self.last_fault_at_s = self.loop.time()

    async def _wake(self) -> None:
        name, self.frozen = self.frozen, ""
        await asyncio.sleep(DETECTION_S)
        self.fleet.network.resume(name)
        self.fleet.announce_state(self.fleet.nodes[name].member, "alive")

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 3.0]))
    def advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule()
    def settle(self) -> None:
        faults = self.fleet.network.faults
        faults.loss = faults.jitter_s = 0.0
        self.loop.run_until_complete(asyncio.sleep(SETTLED_S))

    @invariant()
    def delivered_text_is_a_prefix_of_the_right_text(self) -> None:
        for record, reader, _ in self.readers:
            assert complete_text(record).startswith(reader.text)

    def teardown(self) -> None:
        async def finish() -> None:
            if self.frozen:
                await self._wake()
            faults = self.fleet.network.faults
            faults.loss = faults.jitter_s = 0.0
            tasks = [task for _, _, task in self.readers]
            try:
                await asyncio.wait_for(asyncio.gather(*tasks), 60)
            finally:
                await self.fleet.stop()
            for record, reader, _ in self.readers:
                assert reader.text == complete_text(record)

        try:
            self.loop.run_until_complete(finish())
        finally:
            close_loop(self.loop)


TestWholeDelivery = WholeDelivery.TestCase
TestWholeDelivery.settings = settings(
    derandomize=True, max_examples=20, stateful_step_count=20, deadline=None
)
