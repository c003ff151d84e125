"""Requests between entries about records, with their bounds and their byte counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from godwitpath.membership.member import Member
from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable
from godwitpath.records.table import RecordCounters

ASK_TIMEOUT_S = 0.25
_REMEMBERED_MEMBERS = 4096

R = TypeVar("R", bound=PeerMessage)


class PeerCalls:
    """The other entries as the record store asks them."""

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
        self._regions: dict[str, str] = {}

    def members(self) -> list[Member]:
        """Return the live entries, this one included."""
        members = self._live()
        if all(member.entry_id != self.local.entry_id for member in members):
            members = [*members, self.local]
        return members

    def is_live(self, entry_id: str) -> bool:
        """Whether an entry is believed to live."""
        return any(member.entry_id == entry_id for member in self.members())

    def note(self, member: Member) -> None:
        """Remember the region of an entry for the byte counts."""
        if len(self._regions) >= _REMEMBERED_MEMBERS:
            self._regions.clear()
        self._regions[member.entry_id] = member.region

    def count_bytes(self, entry_id: str, size_bytes: int) -> None:
        """Count the bytes of a copy if it crosses regions."""
        region = self._regions.get(entry_id)
        if region is not None and region != self.local.region:
            self._counters.cross_region_bytes += size_bytes

    async def ask(
        self, entry_id: str, message: PeerMessage, kind: type[R], timeout_s: float = ASK_TIMEOUT_S
    ) -> R | None:
        """Return a peer's reply, or None when there is none of the right kind in time."""
        try:
            reply = await self.transport.request(entry_id, message, timeout_s)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, kind) else None

    async def ask_all(
        self, entry_ids: list[str], message: PeerMessage, kind: type[R]
    ) -> list[tuple[str, R]]:
        """Return the replies of several peers that are asked at once."""
        replies = await asyncio.gather(*(self.ask(each, message, kind) for each in entry_ids))
        pairs = zip(entry_ids, replies, strict=True)
        return [(entry_id, reply) for entry_id, reply in pairs if reply is not None]
