"""Runs an entry with one mechanism disabled, to check that the scenarios detect its absence."""

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
from godwitpath.records.backup import BackupManager
from godwitpath.settings import load_settings
from godwitpath.upstreams.table import UpstreamTable

UNLIMITED_TIMEOUT_S = 1e6


def _without_copies() -> None:
    """Keep records without a copy on a backup."""

    async def place_copy(_manager: BackupManager, _record: Any) -> bool:
        return False

    _replace_method(BackupManager, "place_copy", place_copy)


def _without_continuation() -> None:
    """Start each attempt from the first token, and ignore the offsets of the received chunks."""
    original_call = AttemptRunner._engine_call

    def call_from_first_token(runner: AttemptRunner, generation: Any, attempt_id: str) -> Any:
        generation_call = original_call(runner, generation, attempt_id)
        generation_call.delivered_text, generation_call.delivered_tokens = "", 0
        return generation_call

    def append(runner: AttemptRunner, record: Any, chunk: Any) -> None:
        from godwitpath.records.record import Piece

        piece = Piece(record.tokens, chunk.text, chunk.tokens)
        runner._context.records.append(record, piece)

    _replace_method(AttemptRunner, "_engine_call", call_from_first_token)
    _replace_method(AttemptRunner, "_append", append)


def _without_guard() -> None:
    """Send non-idempotent calls without an execution record."""

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
    """Stop without draining."""

    async def skip(_drain: Drain) -> None:
        return

    _replace_method(Drain, "leave", skip)
    _replace_method(Drain, "finish", skip)


def _without_spreading() -> None:
    """Keep the first configuration and reject every update."""
    original_offer = ConfigInForce.offer

    def offer_first_only(config: ConfigInForce, envelope: Any, from_tree: bool = False) -> bool:
        return not config.ready and original_offer(config, envelope, from_tree)

    _replace_method(ConfigInForce, "offer", offer_first_only)


def _without_liveness() -> None:
    """Use a practically unlimited idle timeout for engine streams."""
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
"""Functions that disable a mechanism, by the name of the mechanism."""


def serve_without(mechanism: str, settings: Path) -> None:
    """Run an entry daemon with a mechanism disabled.

    :param mechanism: key of `MECHANISMS`
    :param settings: path of the JSON settings file
    """
    from godwitpath.entry.daemon import run_daemon

    MECHANISMS[mechanism]()
    asyncio.run(run_daemon(load_settings(str(settings), settings.read_text(encoding="utf-8"))))
