"""Message dispatch shared by the peer transports: handlers, requests with replies, and counters.

Urgent messages are handled on receipt. The other messages of a sender go to a bounded queue (a
"lane" in the counters and the state dump) that one task processes in order, so that a slow handler
delays only the messages of the same sender.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from godwitpath.peers.codec import Delivery, FrameError, decode_frame, encode_frame, is_urgent
from godwitpath.ports.peers import Handler, M, PeerMessage, PeerTransport, PeerUnreachable

MAX_QUEUED_MESSAGES = 512
"""Maximum number of messages of one sender that wait for a handler."""

MAX_SENDERS = 2048
"""Maximum number of senders whose incarnation or queue is kept; several times the largest fleet."""

QUEUE_IDLE_TIMEOUT_S = 30.0
"""Time without messages after which a sender's queue and its task are removed."""

OLD_INCARNATION_REJECT_S = 30.0
"""Time after a sender's last accepted frame during which older incarnations are rejected."""

SendReply = Callable[[bytes], Awaitable[None]]
"""Sends a reply frame over the link on which the request was received."""


@dataclass(slots=True)
class _PendingRequest:
    """A request that is waiting for its reply."""

    entry_id: str
    future: asyncio.Future[PeerMessage]


@dataclass(slots=True)
class _SenderState:
    """Newest incarnation of a sender and the time of its last accepted frame."""

    incarnation: int
    received_at_s: float


class DispatchingTransport(PeerTransport):
    """Base of the transports; a subclass sends the frames and passes it the received frames.

    :ivar counts: number of frames, bytes, dropped frames and errors, by event name
    """

    def __init__(self, entry_id: str, incarnation: int = 0) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.counts: Counter[str] = Counter()
        self._handlers: dict[type[PeerMessage], Handler[Any]] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._queue_by_sender: dict[str, asyncio.Queue[tuple[Delivery, SendReply]]] = {}
        self._queue_task_by_sender: dict[str, asyncio.Task[None]] = {}
        self._state_by_sender: dict[str, _SenderState] = {}
        self._last_correlation_id = 0

    def register_handler(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of a message class."""
        self._handlers[kind] = handler

    async def send(self, entry_id: str, message: PeerMessage) -> None:
        """Send a message without waiting for a reply; an unknown peer is not an error."""
        frame = self._encode(0, False, message)
        if frame is not None:
            await self._transmit(entry_id, frame)

    async def request(self, entry_id: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request and return the peer's reply.

        :raises PeerUnreachable: the request could not be sent, or no reply arrived in time
        """
        self._last_correlation_id += 1
        correlation_id = self._last_correlation_id
        frame = self._encode(correlation_id, False, message)
        if frame is None:
            raise PeerUnreachable(f"message to {entry_id} is too long")
        future: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._pending_requests[correlation_id] = _PendingRequest(entry_id, future)
        try:
            if not await self._transmit(entry_id, frame):
                self._on_unanswered_request(entry_id)
                raise PeerUnreachable(f"{entry_id} cannot be reached")
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            self.counts["request_timeouts"] += 1
            self._on_unanswered_request(entry_id)
            raise PeerUnreachable(f"{entry_id} did not answer in {timeout_s:.3g} s") from None
        finally:
            self._pending_requests.pop(correlation_id, None)

    def dump(self) -> dict[str, Any]:
        """Return the state for operators as plain data."""
        return {
            "counts": dict(self.counts),
            "pending_requests": len(self._pending_requests),
            "lanes": {name: queue.qsize() for name, queue in self._queue_by_sender.items()},
        }

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        """Queue a frame on the peer's link; returns whether the link accepted it."""
        raise NotImplementedError

    def _on_unanswered_request(self, entry_id: str) -> None:
        """Hook for subclasses: a request could not be sent or had no reply in time."""

    def _encode(self, correlation_id: int, reply: bool, message: PeerMessage) -> bytes | None:
        try:
            frame = encode_frame(self.entry_id, self.incarnation, correlation_id, reply, message)
        except FrameError as error:
            self.counts[f"dropped_{error.reason}"] += 1
            return None
        self.counts["sent_frames"] += 1
        self.counts["sent_bytes"] += len(frame)
        self.counts[f"sent_bytes_{type(message).__name__}"] += len(frame)
        return frame

    async def _receive(self, data: bytes, send_reply: SendReply) -> None:
        """Process a frame received from a link; never raises."""
        delivery = self._decode(data)
        if delivery is None:
            return
        if delivery.reply:
            self._resolve(delivery)
        elif type(delivery.message) not in self._handlers:
            self.counts["dropped_no_handler"] += 1
        elif is_urgent(delivery.message):
            await self._run_handler(delivery, send_reply)
        else:
            self._enqueue(delivery, send_reply)

    def _receive_reply(self, data: bytes) -> None:
        """Process a frame from a link on which only replies are expected."""
        delivery = self._decode(data)
        if delivery is not None and delivery.reply:
            self._resolve(delivery)

    def _decode(self, data: bytes) -> Delivery | None:
        self.counts["received_frames"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            delivery = decode_frame(data)
        except FrameError as error:
            self.counts[f"dropped_{error.reason}"] += 1
            return None
        if self._is_stale(delivery):
            self.counts["dropped_old_incarnation"] += 1
            return None
        return delivery

    def _is_stale(self, delivery: Delivery) -> bool:
        now_s = asyncio.get_running_loop().time()
        latest = self._state_by_sender.get(delivery.sender)
        if latest is not None and delivery.incarnation < latest.incarnation:
            return now_s < latest.received_at_s + OLD_INCARNATION_REJECT_S
        if latest is None and len(self._state_by_sender) >= MAX_SENDERS:
            del self._state_by_sender[next(iter(self._state_by_sender))]
        self._state_by_sender[delivery.sender] = _SenderState(delivery.incarnation, now_s)
        return False

    def _resolve(self, delivery: Delivery) -> None:
        pending = self._pending_requests.get(delivery.correlation_id)
        if pending is None or pending.entry_id != delivery.sender or pending.future.done():
            self.counts["dropped_late_replies"] += 1
            return
        pending.future.set_result(delivery.message)

    def _enqueue(self, delivery: Delivery, send_reply: SendReply) -> None:
        if (
            delivery.sender not in self._queue_by_sender
            and len(self._queue_by_sender) >= MAX_SENDERS
        ):
            self.counts["dropped_too_many_senders"] += 1
            return
        queue = self._queue_by_sender.setdefault(
            delivery.sender, asyncio.Queue(MAX_QUEUED_MESSAGES)
        )
        if queue.full():
            self.counts["dropped_lane_full"] += 1
            return
        queue.put_nowait((delivery, send_reply))
        if delivery.sender not in self._queue_task_by_sender:
            task = asyncio.create_task(self._process_queue(delivery.sender, queue))
            self._queue_task_by_sender[delivery.sender] = task

    async def _process_queue(
        self, sender: str, queue: asyncio.Queue[tuple[Delivery, SendReply]]
    ) -> None:
        try:
            while True:
                try:
                    async with asyncio.timeout(QUEUE_IDLE_TIMEOUT_S):
                        delivery, send_reply = await queue.get()
                except TimeoutError:
                    # A message may have been queued after the timeout fired.
                    if queue.empty():
                        return
                    continue
                await self._run_handler(delivery, send_reply)
        finally:
            self._queue_task_by_sender.pop(sender, None)
            self._queue_by_sender.pop(sender, None)

    async def _run_handler(self, delivery: Delivery, send_reply: SendReply) -> None:
        handler = self._handlers[type(delivery.message)]
        try:
            response = await handler(delivery.sender, delivery.message)
        except Exception:
            # No message of a peer may terminate the queue task or the receive loop.
            self.counts["handler_errors"] += 1
            return
        if response is None or not delivery.correlation_id:
            return
        frame = self._encode(delivery.correlation_id, True, response)
        if frame is not None:
            await send_reply(frame)

    async def close(self) -> None:
        """Cancel the queue tasks and the pending requests."""
        tasks = list(self._queue_task_by_sender.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pending in self._pending_requests.values():
            pending.future.cancel()
