"""Exchange of reservations between entries, so that a refused caller can retry at any entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from godwitpath.admission.decide import AdmissionPolicy
from godwitpath.admission.reservations import Reservation, ReservationUpdates
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage, PeerTransport

PUBLISH_INTERVAL_S = 0.2
"""Time between two rounds of notices to the peers.

A reservation is due one second after it was made or later, normally after the peers received it.
"""

MAX_PEERS = 15
"""Most peers that receive notices; with more entries, only some of them know a reservation."""

MAX_RESERVATIONS_PER_NOTICE = 512
"""Most new reservations, and most redeemed ones, in a notice."""


@peer_message
class PromiseNotice(PeerMessage):
    """Changes of one service's reservations.

    :ivar made: digest of each new reservation's call and the time until it is due, in seconds
    :ivar redeemed: digests of the calls whose reservations were used
    """

    service: str
    made: list[tuple[str, float]] = []
    redeemed: list[str] = []


class ReservationExchange:
    """Exchanges the reservations of every service with the peers.

    :ivar sent: number of notices sent, each counted once for all peers
    :ivar received: number of notices received
    """

    def __init__(
        self,
        admissions: Callable[[], Mapping[str, AdmissionPolicy]],
        admission: Callable[[str], AdmissionPolicy],
    ) -> None:
        self._admissions = admissions
        self._admission = admission
        self.sent = 0
        self.received = 0

    async def run(self, transport: PeerTransport, live: Callable[[], Sequence[str]]) -> None:
        """Send changes to the peers, and apply the changes that they send, until cancelled.

        :param live: returns the names of the other entries that membership counts as alive
        """
        loop = asyncio.get_running_loop()

        async def apply_updates(sender: str, notice: PromiseNotice) -> None:
            # Clocks differ between entries, so a notice carries the remaining time.
            made = [
                Reservation(digest, loop.time() + remaining_s)
                for digest, remaining_s in notice.made
            ]
            self._admission(notice.service).reservations.apply_updates(
                ReservationUpdates(made, notice.redeemed)
            )
            self.received += 1

        transport.register_handler(PromiseNotice, apply_updates)
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            for notice in self._notices(loop.time()):
                for peer in sorted(live())[:MAX_PEERS]:
                    await transport.send(peer, notice)
                self.sent += 1

    def _notices(self, now_s: float) -> list[PromiseNotice]:
        notices = []
        for service, admission in self._admissions().items():
            updates = admission.reservations.take_updates()
            if updates:
                made = [
                    (reservation.digest, reservation.due_at_s - now_s)
                    for reservation in updates.made[:MAX_RESERVATIONS_PER_NOTICE]
                ]
                notices.append(
                    PromiseNotice(service, made, updates.redeemed[:MAX_RESERVATIONS_PER_NOTICE])
                )
        return notices
