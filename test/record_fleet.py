"""Simulated entries with record stores on a fake network, and a resumable generation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

from godwitpath.membership.member import Member
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath.records.record import Outcome, Piece, RecordRef, RequestRecord, TextSeen
from godwitpath.records.store import RecordStore
from godwitpath_standin.fakes.peers import FakePeerNetwork

TOKENS = 40
"""Number of tokens of each generation."""

TOKEN_S = 0.05
"""Time to generate one token."""

DETECTION_S = 2.0
"""Time until the other entries detect that an entry has failed."""


def token_text(record: RequestRecord, position: int) -> str:
    """Return a token of a request's text; it names the account and the request."""
    return f"{record.account}/{record.request_id[-8:]}:{position} "


def complete_text(record: RequestRecord) -> str:
    """Return the complete text that is generated for a request."""
    return "".join(token_text(record, position) for position in range(TOKENS))


class Node:
    """An entry: a record store and the tasks that work on the records in it.

    :ivar removed: identifiers of the entries that this entry considers failed
    :ivar work_tasks: tasks that generate text, by request identifier
    """

    def __init__(self, fleet: RecordFleet, member: Member, seed: int) -> None:
        self.fleet = fleet
        self.member = member
        self.transport = fleet.network.transport(member.entry_id)
        self.removed: set[str] = set()
        self.rng = Random(seed)
        self.store = RecordStore(member, self.transport, self.live, self.rng)
        self.store.on_adopt = self.adopt
        self.store.on_fenced = self.stop_work
        self.work_tasks: dict[str, asyncio.Task[None]] = {}
        self.other_tasks: set[asyncio.Task[None]] = set()
        self.store_task = asyncio.create_task(self.store.run())

    def live(self) -> list[Member]:
        """Return the entries that this entry considers live."""
        members = [node.member for node in self.fleet.all_nodes.values()]
        return [member for member in members if member.entry_id not in self.removed]

    def receive_state(self, member: Member, state: str) -> None:
        """Apply the reported state of an entry."""
        updated = Member(
            member.entry_id, member.region, member.availability_zone, member.address, state=state  # type: ignore[arg-type]
        )
        if updated.live:
            self.removed.discard(member.entry_id)
        else:
            self.removed.add(member.entry_id)
        self.store.member_changed(updated)

    def record(self, account: str = "a", key: str = "", kind: str = "chat") -> RequestRecord:
        """Return a new record of this entry."""
        request_id = self.store.new_request_id(account, key)
        return RequestRecord(
            request_id, account, "planner-lm", kind, idempotency_key=key, body=b"{}"  # type: ignore[arg-type]
        )

    async def accept(self, account: str = "a", key: str = "") -> RequestRecord:
        """Accept a request and start work on it."""
        record = self.record(account, key)
        await self.store.accept(record)
        self.start_work(record)
        return record

    def start_work(self, record: RequestRecord) -> None:
        """Work on a record until its outcome."""
        self.work_tasks[record.request_id] = asyncio.create_task(self.generate(record))

    async def generate(self, record: RequestRecord) -> None:
        """Generate the tokens that the record does not have yet."""
        attempt_id = f"{self.rng.getrandbits(64):x}"
        self.store.begin_attempt(record, attempt_id, "engine-1")
        self.store.set_stream(record, f"s-{attempt_id}")
        while record.tokens < TOKENS:
            await asyncio.sleep(TOKEN_S)
            size = min(self.rng.choice([1, 1, 3]), TOKENS - record.tokens)
            text = "".join(token_text(record, record.tokens + index) for index in range(size))
            if not self.store.append(record, Piece(record.tokens, text, size)):
                return
        self.store.finish(record, Outcome(200, finish_reason="stop"))

    async def adopt(self, record: RequestRecord) -> None:
        """Continue work on a record adopted from a failed entry."""
        self.start_work(record)

    def stop_work(self, record: RequestRecord) -> None:
        """Stop work on a record that another entry took over."""
        task = self.work_tasks.pop(record.request_id, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all tasks and close the transport, as when the process exits."""
        tasks = [*self.work_tasks.values(), *self.other_tasks, self.store_task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.transport.close()


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel every task of a loop and close the loop."""

    async def cancel_tasks() -> None:
        tasks = asyncio.all_tasks(loop) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    loop.run_until_complete(cancel_tasks())
    loop.close()


class RecordFleet:
    """Entries in two regions with two availability zones each.

    :ivar all_nodes: every entry by identifier, also killed ones
    :ivar nodes: the entries that were not killed, by identifier
    """

    def __init__(self, size: int = 6, seed: int = 1, zones: int = 4) -> None:
        self.rng = Random(seed)
        self.network = FakePeerNetwork(Random(seed))
        self.all_nodes: dict[str, Node] = {}
        self.nodes: dict[str, Node] = {}
        for index in range(size):
            zone = index % zones
            member = Member(
                f"e{index}", f"r{zone // 2}", f"r{zone // 2}-{zone % 2}", Address("test", index)
            )
            node = Node(self, member, self.rng.getrandbits(32))
            self.all_nodes[member.entry_id] = self.nodes[member.entry_id] = node
        for node in self.nodes.values():
            for other in self.nodes:
                node.transport.add_peer(Peer(other, Address("test", 1)))

    async def kill(self, *entry_ids: str) -> None:
        """Stop entries without notice; the others detect it after ``DETECTION_S``."""
        killed = [self.nodes.pop(entry_id) for entry_id in entry_ids]
        for node in killed:
            self.network.remove(node.member.entry_id)
        for node in killed:
            await node.stop()
            asyncio.get_running_loop().call_later(
                DETECTION_S, self.announce_state, node.member, "gone"
            )

    def announce_state(self, member: Member, state: str) -> None:
        """Report an entry's state to every other entry."""
        for node in self.nodes.values():
            if node.member.entry_id != member.entry_id:
                node.receive_state(member, state)

    def zone_entries(self, entry_id: str) -> list[str]:
        """Return the live entries in an entry's availability zone."""
        zone = self.all_nodes[entry_id].member.availability_zone
        return [name for name, node in self.nodes.items() if node.member.availability_zone == zone]

    async def stop(self) -> None:
        """Stop every entry."""
        for node in self.nodes.values():
            await node.stop()


class Reader:
    """A caller that reads a generation, and reconnects to another entry when an entry fails."""

    def __init__(self, fleet: RecordFleet, record: RequestRecord) -> None:
        self.fleet = fleet
        self.account = record.account
        self.request_id = record.request_id
        self.text = ""
        self.tokens = 0
        self.seen = TextSeen()
        self.outcome: Outcome | None = None

    async def read(self, entry_id: str) -> None:
        """Read to the end through the given entry; after it fails, through any live entry."""
        while self.outcome is None:
            node = self.fleet.nodes.get(entry_id)
            if node is not None:
                try:
                    await self._read_at(node)
                except asyncio.CancelledError:
                    # The failure of an entry ends the requests at that entry, but not the caller.
                    if entry_id in self.fleet.nodes:
                        raise
            await asyncio.sleep(0.2)
            entry_id = self.fleet.rng.choice(list(self.fleet.nodes))

    async def _read_at(self, node: Node) -> None:
        ref = await node.store.find(self.account, self.request_id)
        if ref is not None:
            await self._read_through(node, ref)

    async def _read_through(self, node: Node, ref: RecordRef) -> None:
        batches = node.store.follow(ref, self.tokens, self.seen)
        collecting = asyncio.create_task(self._collect(batches))
        while not collecting.done():
            await asyncio.wait([collecting], timeout=0.1)
            if node.member.entry_id not in self.fleet.nodes:
                collecting.cancel()
        if not collecting.cancelled():
            collecting.result()
            self.outcome = await node.store.outcome(ref)

    async def _collect(self, batches: AsyncIterator[list[Piece]]) -> None:
        async for batch in batches:
            self.text += "".join(piece.text for piece in batch)
            self.tokens += sum(piece.tokens for piece in batch)
            self.seen = self.seen.extended(batch)
