"""In-process peer transport with switchable faults, on the clock of the running loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from godwitpath.peers.dispatch import DispatchingTransport
from godwitpath.ports.peers import Peer


@dataclass(slots=True)
class LinkFaults:
    """Faults of every link.

    :ivar loss: fraction of frames lost
    :ivar duplication: fraction of frames delivered twice
    :ivar delay_s: minimum delay of a frame
    :ivar jitter_s: maximum random delay in addition, which may reorder frames
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0


@dataclass(slots=True)
class FakePeerNetwork:
    """Links between the entries of a test.

    :ivar faults: faults of every link
    :ivar cuts: pairs (sender, receiver) of which every frame is lost
    :ivar paused: entries that neither send nor receive; their frames are held back
    :ivar transports: transport of each entry
    """

    rng: Random
    faults: LinkFaults = field(default_factory=LinkFaults)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    transports: dict[str, FakePeerTransport] = field(default_factory=dict)
    _held_frames: list[tuple[str, str, bytes]] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def transport(self, entry_id: str, incarnation: int = 0) -> FakePeerTransport:
        """Create the transport of an entry; it replaces an earlier transport of the same entry."""
        transport = FakePeerTransport(self, entry_id, incarnation)
        self.transports[entry_id] = transport
        return transport

    def remove(self, entry_id: str) -> None:
        """Remove an entry from the network, as when its process exits."""
        self.transports.pop(entry_id, None)

    def cut(self, sender: str, receiver: str, both_ways: bool = True) -> None:
        """Lose every frame from one entry to another, by default in both directions."""
        self.cuts.add((sender, receiver))
        if both_ways:
            self.cuts.add((receiver, sender))

    def cut_groups(self, first_group: list[str], second_group: list[str]) -> None:
        """Cut every pair of entries between two groups, in both directions."""
        for first_id in first_group:
            for second_id in second_group:
                self.cut(first_id, second_id)

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    def pause(self, entry_id: str) -> None:
        """Hold back the frames from and to an entry, as when its process is suspended."""
        self.paused.add(entry_id)

    def resume(self, entry_id: str) -> None:
        """Resume an entry and deliver the frames that were held back."""
        self.paused.discard(entry_id)
        held_frames, self._held_frames = self._held_frames, []
        for sender, receiver, frame in held_frames:
            self.deliver(sender, receiver, frame)

    def deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame, subject to the faults."""
        if (sender, receiver) in self.cuts or self.rng.random() < self.faults.loss:
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay_s = self.faults.delay_s + self.rng.random() * self.faults.jitter_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._arrive, sender, receiver, frame)

    def _arrive(self, sender: str, receiver: str, frame: bytes) -> None:
        if sender in self.paused or receiver in self.paused:
            self._held_frames.append((sender, receiver, frame))
            return
        transport = self.transports.get(receiver)
        if transport is None or (sender, receiver) in self.cuts:
            return
        task = asyncio.ensure_future(transport.receive_frame(sender, frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class FakePeerTransport(DispatchingTransport):
    """Transport of one entry on a :class:`FakePeerNetwork`."""

    def __init__(self, network: FakePeerNetwork, entry_id: str, incarnation: int) -> None:
        super().__init__(entry_id, incarnation)
        self._network = network
        self.peers: dict[str, Peer] = {}

    def add_peer(self, peer: Peer) -> None:
        """Add a peer or change its address."""
        self.peers[peer.entry_id] = peer

    def remove_peer(self, entry_id: str) -> None:
        """Remove a peer and its connection."""
        self.peers.pop(entry_id, None)

    async def receive_frame(self, sender: str, frame: bytes) -> None:
        """Process a received frame."""
        await self._receive(frame, lambda reply: self._send_reply(sender, reply))

    async def _send_reply(self, receiver: str, frame: bytes) -> None:
        self._network.deliver(self.entry_id, receiver, frame)

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        if entry_id not in self.peers:
            self.counts["dropped_unknown_peer"] += 1
            return False
        self._network.deliver(self.entry_id, entry_id, frame)
        return True
