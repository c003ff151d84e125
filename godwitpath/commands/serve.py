"""The command that runs an entry daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from godwitpath.settings import load_settings


def serve(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings of this process.")],
) -> None:
    """Run an entry daemon until it is stopped.

    Example: godwitpath serve --settings entry-1.json
    """
    from godwitpath.entry.daemon import run_daemon

    text = settings.read_text(encoding="utf-8")
    asyncio.run(run_daemon(load_settings(str(settings), text)))
