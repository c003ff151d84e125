"""Limits on callers' requests, set by the operator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time it may take.

    :ivar max_header_bytes: maximum size of a request's head in bytes
    :ivar max_body_bytes: maximum size of a request's body in bytes
    :ivar header_timeout_s: maximum time until the complete head has arrived
    :ivar idle_timeout_s: maximum idle time between two requests; also the maximum time until a
        complete body has arrived
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 16_777_216
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
