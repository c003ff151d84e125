"""Connects the journal to the peers: copies unstored decision records to a backup peer.

Also looks up unstored records at the peers, and replies to their look-ups.
"""

from __future__ import annotations

import asyncio

from godwitpath.explain.batch import DamagedBatch
from godwitpath.explain.journal import Journal
from godwitpath.explain.record import DecisionRecord
from godwitpath.membership.member import Member
from godwitpath.membership.swim import Membership
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable
from godwitpath.ranking import rank

COPY_INTERVAL_S = 1.0
"""Interval at which new decision records are copied to the backup peer."""

QUERY_TIMEOUT_S = 0.5
"""Time that a peer has to reply to a query for its unstored decision records."""


@peer_message
class JournalPart(PeerMessage):
    """New decision records of the sender, as an encoded :class:`BatchPart`."""

    part: bytes


@peer_message
class JournalQuestion(PeerMessage):
    """Requests the decision records of a subject that are not yet in the store."""

    subject_id: str


@peer_message
class JournalAnswer(PeerMessage):
    """The reply to a :class:`JournalQuestion`."""

    records: list[DecisionRecord]


class JournalLink:
    """Copies the journal of this entry to one peer, and queries all peers about a subject."""

    __slots__ = ("_backup", "_journal", "_membership", "_transport")

    def __init__(self, journal: Journal, membership: Membership, transport: PeerTransport) -> None:
        self._journal = journal
        self._membership = membership
        self._transport = transport
        self._backup = ""
        journal.ask_peers = self._query_peers
        transport.register_handler(JournalPart, self._on_part)
        transport.register_handler(JournalQuestion, self._on_question)
        membership.on_change(self._member_changed)

    async def run(self) -> None:
        """Copy new decision records to the backup peer until cancelled."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            backup = self._choose_backup()
            if backup != self._backup:
                self._backup = backup
                self._journal.restart_copying()
            if backup and (part := self._journal.next_part()):
                await self._transport.send(backup, JournalPart(part))

    def _choose_backup(self) -> str:
        local = self._membership.local
        others = [member for member in self._membership.live() if member is not local]
        other_zones = [
            other for other in others if other.availability_zone != local.availability_zone
        ]
        ranked = rank(local.entry_id, other_zones or others, lambda member: member.entry_id)
        return ranked[0].entry_id if ranked else ""

    def _member_changed(self, member: Member) -> None:
        if member.state == "gone":
            self._journal.mark_peer_removed(member.entry_id)

    async def _on_part(self, _sender: str, message: JournalPart) -> None:
        try:
            self._journal.accept_part(message.part)
        except DamagedBatch:
            # The sender sends whole batches again when its backup changes.
            return

    async def _on_question(self, _sender: str, message: JournalQuestion) -> JournalAnswer:
        return JournalAnswer(self._journal.unstored_records(message.subject_id))

    async def _query_peers(self, subject_id: str) -> list[DecisionRecord]:
        local = self._membership.local
        entry_ids = [member.entry_id for member in self._membership.live() if member is not local]
        replies = await asyncio.gather(
            *(self._query_peer(entry_id, subject_id) for entry_id in entry_ids)
        )
        return [record for records in replies for record in records]

    async def _query_peer(self, entry_id: str, subject_id: str) -> list[DecisionRecord]:
        query = JournalQuestion(subject_id)
        try:
            reply = await self._transport.request(entry_id, query, QUERY_TIMEOUT_S)
        except PeerUnreachable:
            return []
        return reply.records if isinstance(reply, JournalAnswer) else []
