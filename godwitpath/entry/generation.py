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
    :ivar blocks: prefix blocks of the prompt, see :func:`godwitpath.routing.prefix.prefix_blocks`
    :ivar deadline_s: event loop time of the caller's deadline
    :ivar tried: ids of upstreams that failed this generation, retried only if no other is left
    :ivar choice: upstream choice for the next attempt, None to choose when the attempt starts
    :ivar resumable: whether the stream named in the record may be resumed
    :ivar attempt: task of the running attempt, None between attempts
    :ivar upstream_id: upstream of the running attempt, empty between attempts
    :ivar cached_tokens: prompt tokens that the engine of the last attempt had in its cache
    :ivar cancelled: whether the generation was stopped because no caller will request it again
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
