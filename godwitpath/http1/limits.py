"""Bounds on what a caller may send, as the operator sets them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and on how long it may take.

    :ivar max_header_bytes: largest head of a request
    :ivar max_body_bytes: largest body
    :ivar header_timeout_s: longest time for the head to arrive
    :ivar idle_timeout_s: longest time between two requests
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 16_777_216
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
