"""Peer transport within one process, with faults, on the loop's clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from godwitpath.peers.dispatch import DispatchingTransport
from godwitpath.ports.peers import Peer


@dataclass(slots=True)
class LinkFaults:
    """What goes wrong on every link.

    :ivar loss: fraction of frames lost
    :ivar duplication: fraction of frames delivered twice
    :ivar delay_s: least time of a frame
    :ivar jitter_s: further random time; frames overtake one another where it is not 0
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0


@dataclass(slots=True)
class FakePeerNetwork:
    """The links between the entries of a test.

    :ivar faults: what goes wrong on every link
    :ivar cuts: pairs (from, to) whose frames are all lost
    :ivar stopped: entries that neither send nor receive; frames to them wait
    """

    rng: Random
    faults: LinkFaults = field(default_factory=LinkFaults)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    transports: dict[str, FakePeerTransport] = field(default_factory=dict)
    _waiting: list[tuple[str, str, bytes]] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def transport(self, entry_id: str, incarnation: int = 0) -> FakePeerTransport:
        """Return the transport of an entry; a second one replaces the first."""
        transport = FakePeerTransport(self, entry_id, incarnation)
        self.transports[entry_id] = transport
        return transport

    def remove(self, entry_id: str) -> None:
        """Take an entry off the network, as when its process dies."""
        self.transports.pop(entry_id, None)

    def cut(self, one: str, other: str, both_ways: bool = True) -> None:
        """Lose every frame from one entry to another."""
        self.cuts.add((one, other))
        if both_ways:
            self.cuts.add((other, one))

    def cut_groups(self, ones: list[str], others: list[str]) -> None:
        """Cut every pair between two groups."""
        for one in ones:
            for other in others:
                self.cut(one, other)

    def heal(self) -> None:
        """End every cut."""
        self.cuts.clear()

    def pause(self, entry_id: str) -> None:
        """Hold what an entry sends and receives, as when its process is stopped."""
        self.stopped.add(entry_id)

    def wake(self, entry_id: str) -> None:
        """Let an entry go on; what waited for it is delivered now."""
        self.stopped.discard(entry_id)
        waiting, self._waiting = self._waiting, []
        for sender, receiver, frame in waiting:
            self.deliver(sender, receiver, frame)

    def deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        """Carry a frame, subject to the faults."""
        if (sender, receiver) in self.cuts or self.rng.random() < self.faults.loss:
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay_s = self.faults.delay_s + self.rng.random() * self.faults.jitter_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._arrive, sender, receiver, frame)

    def _arrive(self, sender: str, receiver: str, frame: bytes) -> None:
        if sender in self.stopped or receiver in self.stopped:
            self._waiting.append((sender, receiver, frame))
            return
        transport = self.transports.get(receiver)
        if transport is None or (sender, receiver) in self.cuts:
            return
        task = asyncio.ensure_future(transport.take(sender, frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class FakePeerTransport(DispatchingTransport):
    """The transport of one entry on a :class:`FakePeerNetwork`."""

    def __init__(self, network: FakePeerNetwork, entry_id: str, incarnation: int) -> None:
        super().__init__(entry_id, incarnation)
        self._network = network
        self.peers: dict[str, Peer] = {}

    def connect(self, peer: Peer) -> None:
        """Make a peer known, or change its address."""
        self.peers[peer.entry_id] = peer

    def forget(self, entry_id: str) -> None:
        """Drop a peer and its connection."""
        self.peers.pop(entry_id, None)

    async def take(self, sender: str, frame: bytes) -> None:
        """Take in a frame that arrived."""
        await self._receive(frame, lambda answer: self._answer(sender, answer))

    async def _answer(self, receiver: str, frame: bytes) -> None:
        self._network.deliver(self.entry_id, receiver, frame)

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        if entry_id not in self.peers:
            self.counts["dropped_unknown_peer"] += 1
            return False
        self._network.deliver(self.entry_id, entry_id, frame)
        return True
