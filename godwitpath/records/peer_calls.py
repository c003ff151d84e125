"""Requests to other entries about records, with timeouts and byte counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from godwitpath.membership.member import Member
from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable
from godwitpath.records.table import RecordCounters

REQUEST_TIMEOUT_S = 0.25
"""Time that a peer has to reply to a request about a record."""

_MAX_REMEMBERED_REGIONS = 4096
"""Number of entries with a stored region at which all stored regions are dropped."""

R = TypeVar("R", bound=PeerMessage)


class PeerCalls:
    """Sends the record store's requests to other entries."""

    def __init__(
        self,
        local: Member,
        transport: PeerTransport,
        live: Callable[[], list[Member]],
        counters: RecordCounters,
    ) -> None:
        self.local = local
        self.transport = transport
        self._live = live
        self._counters = counters
        self._region_by_entry: dict[str, str] = {}

    def members(self) -> list[Member]:
        """Return the live entries, including the local one."""
        members = self._live()
        if all(member.entry_id != self.local.entry_id for member in members):
            members = [*members, self.local]
        return members

    def is_live(self, entry_id: str) -> bool:
        """Return whether membership lists an entry as live."""
        return any(member.entry_id == entry_id for member in self.members())

    def remember_region(self, member: Member) -> None:
        """Store the region of an entry for the byte counts."""
        if len(self._region_by_entry) >= _MAX_REMEMBERED_REGIONS:
            self._region_by_entry.clear()
        self._region_by_entry[member.entry_id] = member.region

    def count_bytes(self, entry_id: str, size_bytes: int) -> None:
        """Count the bytes of a message if the receiver is in another region."""
        region = self._region_by_entry.get(entry_id)
        if region is not None and region != self.local.region:
            self._counters.cross_region_bytes += size_bytes

    async def request(
        self,
        entry_id: str,
        message: PeerMessage,
        reply_type: type[R],
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> R | None:
        """Return a peer's reply, or None if no reply of the given type arrives in time."""
        try:
            reply = await self.transport.request(entry_id, message, timeout_s)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, reply_type) else None

    async def request_all(
        self, entry_ids: list[str], message: PeerMessage, reply_type: type[R]
    ) -> list[tuple[str, R]]:
        """Send a message to several peers concurrently and return their replies by entry."""
        replies = await asyncio.gather(
            *(self.request(each, message, reply_type) for each in entry_ids)
        )
        pairs = zip(entry_ids, replies, strict=True)
        return [(entry_id, reply) for entry_id, reply in pairs if reply is not None]
