"""Sends datagrams to other daemons, and counts those that are too large to be sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from godwitpath.gateway.instruments import Instruments
from godwitpath.telemetry.decisions import decision

MAX_DATAGRAM_BYTES = 65_507
"""Largest payload of a UDP datagram over IPv4."""

LINE_INTERVAL_S = 1.0
"""Shortest time between two log lines on datagrams that were not sent."""


class DatagramSender:
    """Sends datagrams over a transport.

    :param clock: returns the loop time
    """

    def __init__(
        self,
        transport: asyncio.DatagramTransport,
        instruments: Instruments,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._instruments = instruments
        self._clock = clock
        self._line_due_at_s = 0.0

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or count it and write a line if it is too large."""
        self._instruments.datagram_bytes.record(len(data))
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(data, address)
            return
        self._instruments.unsent_datagrams += 1
        if self._clock() >= self._line_due_at_s:
            self._line_due_at_s = self._clock() + LINE_INTERVAL_S
            decision(
                "datagram_not_sent", size_bytes=len(data), address=f"{address[0]}:{address[1]}"
            )

    def close(self) -> None:
        """Close the transport."""
        self._transport.close()
