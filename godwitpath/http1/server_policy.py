"""What the connections of a server use to handle requests, and share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from godwitpath.http1.held_bytes import HeldBytes
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.messages import Request
from godwitpath.http1.open_connections import OpenConnections
from godwitpath.http1.responder import Responder

Handler = Callable[[Request, Responder], Awaitable[None]]
"""Handles a request and writes the response with the responder."""

_DEFAULT_LIMITS = CallerLimits()


@dataclass(slots=True, eq=False)
class ServerPolicy:
    """Callbacks that connections use to handle requests.

    :ivar handler: handles a request and writes the response
    :ivar limits: returns the limits currently in force
    :ivar keep_alive_allowed: returns whether connections may stay open after a response
    :ivar open_connections: bounds the number of connections
    :ivar received: bodies of requests that are being received or handled
    :ivar unsent: responses that their callers have not read
    """

    handler: Handler
    limits: Callable[[], CallerLimits] = lambda: _DEFAULT_LIMITS
    keep_alive_allowed: Callable[[], bool] = lambda: True
    open_connections: OpenConnections = field(default_factory=OpenConnections)
    received: HeldBytes = field(default_factory=HeldBytes)
    unsent: HeldBytes = field(default_factory=HeldBytes)
