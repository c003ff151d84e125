"""Stop requests for an entry: announced stops, and reclaim notices for its instance."""

from __future__ import annotations

import asyncio

from godwitpath.entry.drain import Drain
from godwitpath.membership.swim import Membership
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport
from godwitpath.ports.platform import ReclaimNotice
from godwitpath.upstreams.feed import UpstreamFeed
from godwitpath.upstreams.stops import Stop


@peer_message
class EntryNotice(PeerMessage):
    """Notifies an entry that the cloud is reclaiming its instance.

    :ivar notice_s: time until the instance is terminated
    """

    notice_s: float


class StopNotices:
    """Starts the drain when a stop of this entry, or a reclaim of its instance, is announced.

    Only a few entries of a region watch the reclaim notices; they forward a notice that concerns
    another entry to that entry.
    """

    __slots__ = ("_drain", "_membership", "_tasks", "_transport")

    def __init__(
        self,
        drain: Drain,
        feed: UpstreamFeed,
        membership: Membership,
        transport: PeerTransport,
    ) -> None:
        self._drain = drain
        self._membership = membership
        self._transport = transport
        self._tasks: set[asyncio.Task[None]] = set()
        feed.on_stop(self._on_stop)
        feed.on_notice(self._on_notice)
        transport.register_handler(EntryNotice, self._on_entry_notice)

    def _on_stop(self, stop: Stop) -> None:
        local = self._membership.local
        if stop.covers_entry(local.entry_id, local.availability_zone):
            self._drain.stop(f"announced stop of {stop.kind} {stop.name}")

    def _on_notice(self, notice: ReclaimNotice) -> None:
        if notice.instance_id == self._membership.local.entry_id:
            self._drain.stop("reclaim notice", notice.notice_s)
        elif self._membership.get(notice.instance_id) is not None:
            message = EntryNotice(notice.notice_s)
            task = asyncio.create_task(self._transport.send(notice.instance_id, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _on_entry_notice(self, _sender: str, message: EntryNotice) -> None:
        self._drain.stop("reclaim notice", message.notice_s)
