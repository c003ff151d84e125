"""Entries with one mechanism switched off, so that a proof is seen to fail without it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from godwitpath.adapters.engine_http import HttpEngine
from godwitpath.config_sync.in_force import ConfigInForce
from godwitpath.entry.attempt import AttemptRunner
from godwitpath.entry.drain import Drain
from godwitpath.execution.guard import ExecutionGuard
from godwitpath.execution.record import Claim, ExecutionRecord
from godwitpath.records.backup import BackupKeeper
from godwitpath.settings import load_settings
from godwitpath.upstreams.table import UpstreamTable

UNLIMITED_TIMEOUT_S = 1e6


def _without_copies() -> None:
    """Hold records without a copy at a backup."""

    async def place(_keeper: BackupKeeper, _record: Any) -> bool:
        return False

    _replace_method(BackupKeeper, "place", place)


def _without_continuation() -> None:
    """Start each attempt anew, and take whatever offset comes."""
    call = AttemptRunner._call

    def fresh_call(runner: AttemptRunner, generation: Any, attempt_id: str) -> Any:
        generation_call = call(runner, generation, attempt_id)
        generation_call.delivered_text, generation_call.delivered_tokens = "", 0
        return generation_call

    def append(runner: AttemptRunner, record: Any, chunk: Any) -> None:
        from godwitpath.records.record import Piece

        piece = Piece(record.tokens, chunk.text, chunk.tokens)
        runner._context.records.append(record, piece)

    _replace_method(AttemptRunner, "_call", fresh_call)
    _replace_method(AttemptRunner, "_append", append)


def _without_guard() -> None:
    """Send calls that may run once without an execution record."""

    async def claim(
        _guard: ExecutionGuard, account: str, key: str, digest: str, request_id: str
    ) -> Claim:
        record = ExecutionRecord("sent", account, digest, request_id, "", "", request_id, 0.0)
        return Claim("exec/none", record, 0)

    async def always_true(*_arguments: Any) -> bool:
        return True

    _replace_method(ExecutionGuard, "claim", claim)
    _replace_method(ExecutionGuard, "finish", always_true)
    _replace_method(ExecutionGuard, "release", always_true)


def _without_upstream_states() -> None:
    """Send new work to upstreams that are leaving."""

    def serving(table: UpstreamTable, service: str) -> list[Any]:
        return [
            upstream
            for upstream in table.all()
            if upstream.service == service and upstream.state != "gone"
        ]

    _replace_method(UpstreamTable, "serving", serving)


def _without_drain() -> None:
    """End at once when told to stop."""

    async def skip(_drain: Drain) -> None:
        return

    _replace_method(Drain, "leave", skip)
    _replace_method(Drain, "finish", skip)


def _without_spreading() -> None:
    """Keep the first configuration."""
    offer = ConfigInForce.offer

    def first_only(config: ConfigInForce, envelope: Any, from_tree: bool = False) -> bool:
        return not config.ready and offer(config, envelope, from_tree)

    _replace_method(ConfigInForce, "offer", first_only)


def _without_liveness() -> None:
    """Wait for ever on a silent stream."""
    HttpEngine.__init__.__defaults__ = (2.0, UNLIMITED_TIMEOUT_S, 1.0)


def _replace_method(owner: type, name: str, function: Callable[..., Any]) -> None:
    setattr(owner, name, function)


MECHANISMS: dict[str, Callable[[], None]] = {
    "copies": _without_copies,
    "continuation": _without_continuation,
    "guard": _without_guard,
    "upstream-states": _without_upstream_states,
    "drain": _without_drain,
    "spreading": _without_spreading,
    "liveness": _without_liveness,
}
"""Each mechanism that can be left out, by name."""


def serve_without(mechanism: str, settings: Path) -> None:
    """Run an entry daemon without a mechanism."""
    from godwitpath.entry.daemon import run_daemon

    MECHANISMS[mechanism]()
    asyncio.run(run_daemon(load_settings(str(settings), settings.read_text(encoding="utf-8"))))
