"""Takes up a changed settings file, told by a signal or not; a damaged one changes nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.settings import GatewaySettings
from godwitpath.telemetry.decisions import decision

LOOK_S = 1.0
"""Time between two looks at the file: it may change without a signal."""

LIVE_FIELDS = frozenset(("bounds", "duty_calls_per_s"))
"""Settings that take effect at once; the others need a restart, and a line says so."""


class SettingsReloader:
    """Watches the settings file.

    :param read: returns the settings of the file's bytes, raises a :class:`GodwitpathError`
    :param apply: puts new settings in force
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
        # The file may have changed since the current settings were read from it.
        self._seen = b""
        self._signalled = asyncio.Event()

    def signalled(self) -> None:
        """Note that the platform says that the file has changed."""
        self._signalled.set()

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    await self._signalled.wait()
            except TimeoutError:
                pass
            told = self._signalled.is_set()
            self._signalled.clear()
            self.look(told)

    def look(self, told: bool) -> None:
        """Read the file, and put it in force if it is sound and has changed."""
        try:
            text = self._path.read_bytes()
        except OSError as error:
            decision("settings_unreadable", reason=str(error))
            return
        if text == self._seen:
            if told:
                decision("settings_unchanged")
            return
        self._seen = text
        try:
            settings = self._read(text, str(self._path))
        except GodwitpathError as error:
            decision("settings_refused", reason=str(error))
            return
        if settings == self._current:
            if told:
                decision("settings_unchanged")
            return
        changed = [
            each.name
            for each in fields(settings)
            if getattr(settings, each.name) != getattr(self._current, each.name)
        ]
        later = sorted(set(changed) - LIVE_FIELDS)
        decision("settings_reloaded", changed=sorted(changed), after_restart=later)
        self._current = settings
        self._apply(settings)
