"""Sends messages to other daemons as datagrams, each of a size that is always sent."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from godwitpath.gateway.instruments import Instruments
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_messages import PeerMessage, PeerReport, ZoneSummary, seal
from godwitpath.gateway.report_budget import ReportPacker, pieces_allowed
from godwitpath.gateway.report_sections import Message
from godwitpath.telemetry.decisions import decision

MAX_UDP_BYTES = 65_507
"""Largest payload of a datagram over IPv4."""

LINE_INTERVAL_S = 1.0
"""Shortest time between two log lines on datagrams that were not sent for the same reason."""

MAX_ELAPSED_S = 1.0
"""Longest time between two reports for which a report may have more pieces."""


class Outgoing:
    """The datagrams of a report or summary.

    :param encode_whole: returns the datagram for the builds that take no pieces
    :ivar pieces: the datagrams for the others
    """

    __slots__ = ("_encode_whole", "_whole", "pieces")

    def __init__(self, pieces: list[bytes], encode_whole: Callable[[], bytes]) -> None:
        self.pieces = pieces
        self._encode_whole = encode_whole
        self._whole: bytes | None = None

    def whole(self) -> bytes:
        """Return the datagram for the builds that take no pieces."""
        if self._whole is None:
            self._whole = self._encode_whole()
        return self._whole


class ReportSender:
    """Sends reports and summaries: in pieces to the daemons that take these, whole to the others.

    :param counts: number of events by name, to which this adds the datagrams that were not sent
    :ivar transport: sends datagrams, None until the daemon listens
    :ivar reports: packs this daemon's reports
    :ivar summaries: packs this daemon's summaries
    """

    def __init__(self, members: Members, counts: Counter[str], instruments: Instruments) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self.reports: ReportPacker[PeerReport] = ReportPacker()
        self.summaries: ReportPacker[ZoneSummary] = ReportPacker()
        self._sizes_bytes = instruments.datagram_bytes.bind()
        # Loop time from which the next datagram that is not sent gets a log line, by reason.
        self._line_due_at_s: dict[str, float] = {}
        self._members = members
        self._counts = counts
        self._loop = asyncio.get_running_loop()
        self._reported_at_s = self._loop.time() - MAX_ELAPSED_S
        self._elapsed_s = MAX_ELAPSED_S

    def begin_report(self) -> None:
        """Begin a report, whose pieces depend on the time since the report before."""
        now_s = self._loop.time()
        self._elapsed_s = min(MAX_ELAPSED_S, now_s - self._reported_at_s)
        self._reported_at_s = now_s

    def pieces_allowed(self, copies: int) -> int:
        """Return how many datagrams the report or summary that was begun may have.

        :param copies: number of datagrams that one daemon sends or forwards for each piece
        """
        return pieces_allowed(copies, self._elapsed_s)

    def pack(self, message: Message, packer: ReportPacker[Message], copies: int) -> Outgoing:
        """Return the datagrams of a report or summary.

        :param copies: number of datagrams that one daemon sends or forwards for each piece
        """
        pieces = packer.pieces(message, self.pieces_allowed(copies))
        datagrams = [self.seal(each) for each in pieces]
        if len(pieces) == 1 and not pieces[0].spread_over:
            return Outgoing(datagrams, lambda: datagrams[0])
        return Outgoing(datagrams, lambda: self.seal(packer.whole(message)))

    def seal(self, message: PeerMessage) -> bytes:
        """Return the datagram of a message."""
        return seal(self._members.secret, msgspec.msgpack.encode(message))

    def send(self, data: bytes, names: Iterable[str]) -> None:
        """Send a datagram to daemons."""
        for name in names:
            entry = self._members.entries.get(name)
            if entry is None:
                self._note_unsent("unknown_address", f"no address of {name}")
            else:
                self.send_to(data, (entry.host, entry.port))

    def send_to(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram to an address; one that cannot be sent is counted."""
        self._sizes_bytes.record(len(data))
        if len(data) > MAX_UDP_BYTES:
            self._note_unsent("too_large", f"{len(data)} bytes to {addr[0]}:{addr[1]}")
        elif self.transport is None:
            self._note_unsent("not_listening", "the daemon does not listen yet")
        else:
            self.transport.sendto(data, addr)

    def note_error(self, exc: Exception) -> None:
        """Count a datagram that the system did not send, or whose receiver did not listen."""
        self._counts["datagram_errors"] += 1
        if isinstance(exc, ConnectionRefusedError):
            self._note_unsent("refused", str(exc))
        elif isinstance(exc, OSError) and exc.errno == errno.EMSGSIZE:
            self._note_unsent("too_large", str(exc))
        else:
            self._note_unsent("error", repr(exc))

    def _note_unsent(self, kind: str, reason: str) -> None:
        """Count a datagram that was not sent; one of each kind a second is logged."""
        event = f"datagrams_unsent_{kind}"
        self._counts[event] += 1
        if self._loop.time() >= self._line_due_at_s.get(kind, 0.0):
            self._line_due_at_s[kind] = self._loop.time() + LINE_INTERVAL_S
            decision("datagram_unsent", why=kind, reason=reason, count=self._counts[event])
