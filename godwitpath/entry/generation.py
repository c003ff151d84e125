"""A generation in progress at this entry."""

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
    :ivar deadline_s: loop time at which the caller's deadline passes
    :ivar tried: upstreams that failed it, asked again only when there is no other
    :ivar resumable: whether the stream that the record names may be taken up
    :ivar attempt: the running attempt, None between two
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
