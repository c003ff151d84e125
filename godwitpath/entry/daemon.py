"""Wires the parts of the entry daemon together and runs them."""

from __future__ import annotations

from godwitpath.settings import ProcessSettings


async def run_daemon(settings: ProcessSettings) -> None:
    """Run the daemon until it is stopped."""
    raise NotImplementedError(settings.entry_id)
