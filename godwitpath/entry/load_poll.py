"""Polls the engines for load reports, a few engines per round."""

from __future__ import annotations

import asyncio

from godwitpath.entry.context import EntryContext, now_s
from godwitpath.ports.engine import EngineError
from godwitpath.upstreams.table import Upstream

POLL_INTERVAL_S = 1.0
"""Interval between polling rounds."""

MAX_POLLS_PER_ROUND = 4
"""Maximum number of engines polled per round; bounds the cost in a large fleet."""


class LoadPoll:
    """Refreshes the load reports of the engines in round-robin order."""

    __slots__ = ("_context", "_next_index")

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._next_index = 0

    async def run(self) -> None:
        """Poll a few engines at each interval until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await asyncio.gather(*(self._poll(upstream) for upstream in self._next_round()))

    def _next_round(self) -> list[Upstream]:
        configuration = self._context.config.current
        if configuration is None:
            return []
        engines = [
            upstream
            for upstream in self._context.upstreams.all()
            if upstream.state == "serving"
            and upstream.service in configuration.services
            and configuration.services[upstream.service].kind == "generation"
        ]
        if not engines:
            return []
        start = self._next_index % len(engines)
        self._next_index += MAX_POLLS_PER_ROUND
        return (engines[start:] + engines[:start])[:MAX_POLLS_PER_ROUND]

    async def _poll(self, upstream: Upstream) -> None:
        try:
            report = await self._context.engine.load(upstream.address)
        except EngineError:
            # Calls to the engine soon show whether the engine has failed.
            return
        self._context.load_tracker.report(upstream.upstream_id, report, now_s())
