"""Closes a connection in a way that its other end does not take for an orderly end."""

from __future__ import annotations

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` that makes closing the socket send a reset."""


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection at once with a reset."""
    opened = transport.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
