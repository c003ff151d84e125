"""State of a generation in progress."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from godwitpath.config.model import Service
from godwitpath.records.record import RequestRecord
from godwitpath.routing.choose import RouteChoice


@dataclass(slots=True)
class Generation:
    """A generation in progress at this entry.

    :ivar record: the request record
    :ivar service: the service as configured at acceptance
    :ivar body: the decoded body of the record
    :ivar deadline_s: event loop time of the caller's deadline
    :ivar tried: ids of upstreams that failed this generation, retried only if no other is left
    :ivar resumable: whether the stream named in the record may be resumed
    :ivar attempt: the running attempt, None between attempts
    """

    record: RequestRecord
    service: Service
    body: dict[str, Any]
    blocks: list[str]
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    choice: RouteChoice | None = None
    attempt: asyncio.Task[None] | None = None
    upstream_id: str = ""
    cached_tokens: int = 0
    resumable: bool = False
    cancelled: bool = False
