"""Entries with record stores on the fake network, and a generation that can be resumed."""

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
TOKEN_S = 0.05
NOTICE_S = 2.0
"""Time until the others know that an entry is gone."""


def word(record: RequestRecord, position: int) -> str:
    """Return a token of a request's answer; it tells whose answer it is."""
    return f"{record.account}/{record.request_id[-8:]}:{position} "


def whole_answer(record: RequestRecord) -> str:
    """Return the complete answer to a request."""
    return "".join(word(record, position) for position in range(TOKENS))


class Node:
    """One entry: a record store and the work on its records."""

    def __init__(self, fleet: RecordFleet, member: Member, seed: int) -> None:
        self.fleet = fleet
        self.member = member
        self.transport = fleet.network.transport(member.entry_id)
        self.gone: set[str] = set()
        self.rng = Random(seed)
        self.store = RecordStore(member, self.transport, self.live, self.rng)
        self.store.on_adopt = self.adopt
        self.store.on_fenced = self.fenced
        self.work: dict[str, asyncio.Task[None]] = {}
        self.others: set[asyncio.Task[None]] = set()
        self.runner = asyncio.create_task(self.store.run())

    def live(self) -> list[Member]:
        """Return the entries that this one believes to live."""
        members = [node.member for node in self.fleet.all_nodes.values()]
        return [member for member in members if member.entry_id not in self.gone]

    def hear(self, member: Member, state: str) -> None:
        """Learn of an entry's state."""
        changed = Member(
            member.entry_id, member.region, member.availability_zone, member.address, state=state  # type: ignore[arg-type]
        )
        if changed.live:
            self.gone.discard(member.entry_id)
        else:
            self.gone.add(member.entry_id)
        self.store.member_changed(changed)

    def record(self, account: str = "a", key: str = "", kind: str = "chat") -> RequestRecord:
        """Return a new record of this entry."""
        request_id = self.store.new_request_id(account, key)
        return RequestRecord(
            request_id, account, "planner-lm", kind, idempotency_key=key, body=b"{}"  # type: ignore[arg-type]
        )

    async def accept(self, account: str = "a", key: str = "") -> RequestRecord:
        """Accept a request and start to work on it."""
        record = self.record(account, key)
        await self.store.accept(record)
        self.start_work(record)
        return record

    def start_work(self, record: RequestRecord) -> None:
        """Work on a record until its outcome."""
        self.work[record.request_id] = asyncio.create_task(self.generate(record))

    async def generate(self, record: RequestRecord) -> None:
        """Produce the tokens that the record does not have."""
        attempt_id = f"{self.rng.getrandbits(64):x}"
        self.store.begin_attempt(record, attempt_id, "engine-1")
        self.store.set_stream(record, f"s-{attempt_id}")
        while record.tokens < TOKENS:
            await asyncio.sleep(TOKEN_S)
            size = min(self.rng.choice([1, 1, 3]), TOKENS - record.tokens)
            text = "".join(word(record, record.tokens + index) for index in range(size))
            if not self.store.append(record, Piece(record.tokens, text, size)):
                return
        self.store.finish(record, Outcome(200, finish_reason="stop"))

    async def adopt(self, record: RequestRecord) -> None:
        """Go on with a record of an entry that is gone."""
        self.start_work(record)

    def fenced(self, record: RequestRecord) -> None:
        """Stop the work on a record that another entry has."""
        task = self.work.pop(record.request_id, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """End everything, as when the process dies."""
        tasks = [*self.work.values(), *self.others, self.runner]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.transport.close()


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """End every task of a loop and close it."""

    async def end() -> None:
        tasks = asyncio.all_tasks(loop) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    loop.run_until_complete(end())
    loop.close()


class RecordFleet:
    """Entries in two regions with two availability zones each."""

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
                node.transport.connect(Peer(other, Address("test", 1)))

    async def kill(self, *entry_ids: str) -> None:
        """End entries without a word; the others notice later."""
        dead = [self.nodes.pop(entry_id) for entry_id in entry_ids]
        for node in dead:
            self.network.remove(node.member.entry_id)
        for node in dead:
            await node.stop()
            asyncio.get_running_loop().call_later(NOTICE_S, self.tell, node.member, "gone")

    def tell(self, member: Member, state: str) -> None:
        """Let every other entry learn of an entry's state."""
        for node in self.nodes.values():
            if node.member.entry_id != member.entry_id:
                node.hear(member, state)

    def zone_of(self, entry_id: str) -> list[str]:
        """Return the living entries of an entry's availability zone."""
        zone = self.all_nodes[entry_id].member.availability_zone
        return [name for name, node in self.nodes.items() if node.member.availability_zone == zone]

    async def stop(self) -> None:
        """End every entry."""
        for node in self.nodes.values():
            await node.stop()


class Reader:
    """A caller who reads an answer and comes back through another entry when his own dies."""

    def __init__(self, fleet: RecordFleet, record: RequestRecord) -> None:
        self.fleet = fleet
        self.account = record.account
        self.request_id = record.request_id
        self.text = ""
        self.tokens = 0
        self.seen = TextSeen()
        self.outcome: Outcome | None = None

    async def read(self, entry_id: str) -> None:
        """Read to the end through an entry, then through any living one."""
        while self.outcome is None:
            node = self.fleet.nodes.get(entry_id)
            if node is not None:
                try:
                    await self._visit(node)
                except asyncio.CancelledError:
                    # The entry's process died; that ends its requests, and not the caller.
                    if entry_id in self.fleet.nodes:
                        raise
            await asyncio.sleep(0.2)
            entry_id = self.fleet.rng.choice(list(self.fleet.nodes))

    async def _visit(self, node: Node) -> None:
        ref = await node.store.find(self.account, self.request_id)
        if ref is not None:
            await self._read_through(node, ref)

    async def _read_through(self, node: Node, ref: RecordRef) -> None:
        batches = node.store.follow(ref, self.tokens, self.seen)
        take = asyncio.create_task(self._take(batches))
        while not take.done():
            await asyncio.wait([take], timeout=0.1)
            if node.member.entry_id not in self.fleet.nodes:
                take.cancel()
        if not take.cancelled():
            take.result()
            self.outcome = await node.store.outcome(ref)

    async def _take(self, batches: AsyncIterator[list[Piece]]) -> None:
        async for batch in batches:
            self.text += "".join(piece.text for piece in batch)
            self.tokens += sum(piece.tokens for piece in batch)
            self.seen = self.seen.extended(batch)
