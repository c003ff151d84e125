"""What every peer transport does with what it receives: handlers, replies and counts.

Urgent messages are handled on receipt. The others of a peer wait in its lane, a bounded queue
that one task works off in order, so that a slow handler holds up nobody but its sender.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from godwitpath.peers.codec import Delivery, FrameError, decode_frame, encode_frame, is_urgent
from godwitpath.ports.peers import Handler, M, PeerMessage, PeerTransport, PeerUnreachable

LANE_LIMIT = 512
"""Most messages of a peer that wait for their handlers."""

SENDERS_LIMIT = 2048
"""Most senders that are remembered, several times the largest fleet."""

LANE_IDLE_S = 30.0
"""A lane without messages for so long ends its task."""

STALE_SENDER_S = 30.0
"""Frames of a sender's earlier incarnation are dropped for so long after a newer one."""

Reply = Callable[[bytes], Awaitable[None]]
"""Sends a frame back over the link that a request came by."""


@dataclass(slots=True)
class _Pending:
    """A request that waits for its reply."""

    entry_id: str
    future: asyncio.Future[PeerMessage]


@dataclass(slots=True)
class _Sender:
    """The newest incarnation heard of a sender, and when."""

    incarnation: int
    heard_at_s: float


class DispatchingTransport(PeerTransport):
    """A transport but for the links: subclasses send frames and pass on what they receive.

    :ivar counts: frames, bytes and faults by name
    """

    def __init__(self, entry_id: str, incarnation: int = 0) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.counts: Counter[str] = Counter()
        self._handlers: dict[type[PeerMessage], Handler[Any]] = {}
        self._pending: dict[int, _Pending] = {}
        self._lanes: dict[str, asyncio.Queue[tuple[Delivery, Reply]]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._senders: dict[str, _Sender] = {}
        self._last_correlation = 0

    def handle(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of a kind of message."""
        self._handlers[kind] = handler

    async def send(self, entry_id: str, message: PeerMessage) -> None:
        """Send without waiting for an answer; unknown peers are no error."""
        frame = self._encode(0, False, message)
        if frame is not None:
            await self._transmit(entry_id, frame)

    async def request(self, entry_id: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send and return the peer's reply.

        :raises PeerUnreachable: no reply in time
        """
        self._last_correlation += 1
        correlation = self._last_correlation
        frame = self._encode(correlation, False, message)
        if frame is None:
            raise PeerUnreachable(f"message to {entry_id} is too long")
        future: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = _Pending(entry_id, future)
        try:
            if not await self._transmit(entry_id, frame):
                self._unanswered(entry_id)
                raise PeerUnreachable(f"{entry_id} cannot be reached")
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            self.counts["request_timeouts"] += 1
            self._unanswered(entry_id)
            raise PeerUnreachable(f"{entry_id} did not answer in {timeout_s:.3g} s") from None
        finally:
            self._pending.pop(correlation, None)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            "counts": dict(self.counts),
            "pending_requests": len(self._pending),
            "lanes": {name: queue.qsize() for name, queue in self._lanes.items()},
        }

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        """Put a frame on the peer's link; returns whether it was taken."""
        raise NotImplementedError

    def _unanswered(self, entry_id: str) -> None:
        """Take note that a request to a peer had no reply in time."""

    def _encode(self, correlation: int, reply: bool, message: PeerMessage) -> bytes | None:
        try:
            frame = encode_frame(self.entry_id, self.incarnation, correlation, reply, message)
        except FrameError as error:
            self.counts[f"dropped_{error.fault}"] += 1
            return None
        self.counts["sent_frames"] += 1
        self.counts["sent_bytes"] += len(frame)
        self.counts[f"sent_bytes_{type(message).__name__}"] += len(frame)
        return frame

    async def _receive(self, data: bytes, reply: Reply) -> None:
        """Take in a frame from a link; never raises."""
        delivery = self._decode(data)
        if delivery is None:
            return
        if delivery.reply:
            self._resolve(delivery)
        elif type(delivery.message) not in self._handlers:
            self.counts["dropped_no_handler"] += 1
        elif is_urgent(delivery.message):
            await self._run_handler(delivery, reply)
        else:
            self._enqueue(delivery, reply)

    def _receive_reply(self, data: bytes) -> None:
        """Take in a frame from a link that brings nothing but replies."""
        delivery = self._decode(data)
        if delivery is not None and delivery.reply:
            self._resolve(delivery)

    def _decode(self, data: bytes) -> Delivery | None:
        self.counts["received_frames"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            delivery = decode_frame(data)
        except FrameError as error:
            self.counts[f"dropped_{error.fault}"] += 1
            return None
        if self._stale(delivery):
            self.counts["dropped_old_incarnation"] += 1
            return None
        return delivery

    def _stale(self, delivery: Delivery) -> bool:
        now_s = asyncio.get_running_loop().time()
        known = self._senders.get(delivery.sender)
        if known is not None and delivery.incarnation < known.incarnation:
            return now_s < known.heard_at_s + STALE_SENDER_S
        if known is None and len(self._senders) >= SENDERS_LIMIT:
            del self._senders[next(iter(self._senders))]
        self._senders[delivery.sender] = _Sender(delivery.incarnation, now_s)
        return False

    def _resolve(self, delivery: Delivery) -> None:
        pending = self._pending.get(delivery.correlation)
        if pending is None or pending.entry_id != delivery.sender or pending.future.done():
            self.counts["dropped_late_replies"] += 1
            return
        pending.future.set_result(delivery.message)

    def _enqueue(self, delivery: Delivery, reply: Reply) -> None:
        if delivery.sender not in self._lanes and len(self._lanes) >= SENDERS_LIMIT:
            self.counts["dropped_too_many_senders"] += 1
            return
        lane = self._lanes.setdefault(delivery.sender, asyncio.Queue(LANE_LIMIT))
        if lane.full():
            self.counts["dropped_lane_full"] += 1
            return
        lane.put_nowait((delivery, reply))
        if delivery.sender not in self._tasks:
            task = asyncio.create_task(self._work_off(delivery.sender, lane))
            self._tasks[delivery.sender] = task

    async def _work_off(self, sender: str, lane: asyncio.Queue[tuple[Delivery, Reply]]) -> None:
        try:
            while True:
                try:
                    async with asyncio.timeout(LANE_IDLE_S):
                        delivery, reply = await lane.get()
                except TimeoutError:
                    # A message may have come between the time-out and here.
                    if lane.empty():
                        return
                    continue
                await self._run_handler(delivery, reply)
        finally:
            self._tasks.pop(sender, None)
            self._lanes.pop(sender, None)

    async def _run_handler(self, delivery: Delivery, reply: Reply) -> None:
        handler = self._handlers[type(delivery.message)]
        try:
            answer = await handler(delivery.sender, delivery.message)
        except Exception:
            # A peer must not be able to end a task of ours, whatever it sends.
            self.counts["handler_errors"] += 1
            return
        if answer is None or not delivery.correlation:
            return
        frame = self._encode(delivery.correlation, True, answer)
        if frame is not None:
            await reply(frame)

    async def close(self) -> None:
        """End every task."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pending in self._pending.values():
            pending.future.cancel()
