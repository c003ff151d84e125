"""Reloads a changed settings file, with or without a signal; an invalid file changes nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.settings import GatewaySettings
from godwitpath.telemetry.decisions import decision

POLL_S = 1.0
"""Interval at which the settings file is checked, because the file may change without a signal."""

LIVE_FIELDS = frozenset(("bounds", "duty_calls_per_s"))
"""Settings that take effect at once. Changes of other settings need a restart, and a log line lists
them."""


class SettingsReloader:
    """Watches the settings file.

    :param path: the settings file
    :param current: the settings that the daemon started with
    :param read: decodes the file's bytes; raises a :class:`GodwitpathError` if they are invalid
    :param apply: applies new settings
    """

    def __init__(
        self,
        path: Path,
        current: GatewaySettings,
        read: Callable[[bytes, str], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._current = current
        self._read = read
        self._apply = apply
        # Empty, because the file may have changed since `current` was read from it.
        self._last_content = b""
        self._signalled = asyncio.Event()

    def notify_changed(self) -> None:
        """Request a check of the file; called when the platform signals that it has changed."""
        self._signalled.set()

    async def run(self) -> None:
        """Check for changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_S):
                    await self._signalled.wait()
            except TimeoutError:
                pass
            by_signal = self._signalled.is_set()
            self._signalled.clear()
            self.check(by_signal)

    def check(self, by_signal: bool) -> None:
        """Read the settings file, and apply its settings if they are valid and have changed.

        :param by_signal: whether a signal announced a change, so that an unchanged file is logged
            too
        """
        try:
            content = self._path.read_bytes()
        except OSError as error:
            decision("settings_unreadable", reason=str(error))
            return
        if content == self._last_content:
            if by_signal:
                decision("settings_unchanged")
            return
        self._last_content = content
        try:
            settings = self._read(content, str(self._path))
        except GodwitpathError as error:
            decision("settings_refused", reason=str(error))
            return
        if settings == self._current:
            if by_signal:
                decision("settings_unchanged")
            return
        changed = [
            each.name
            for each in fields(settings)
            if getattr(settings, each.name) != getattr(self._current, each.name)
        ]
        needs_restart = sorted(set(changed) - LIVE_FIELDS)
        decision("settings_reloaded", changed=sorted(changed), after_restart=needs_restart)
        self._current = settings
        self._apply(settings)
