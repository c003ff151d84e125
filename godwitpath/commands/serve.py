"""The command that runs an entry daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from godwitpath.commands.console import read_text
from godwitpath.settings import load_settings


def serve(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings of this process.")],
) -> None:
    """Run an entry daemon until it is stopped.

    Example: godwitpath serve --settings entry-1.json
    """
    loaded = load_settings(str(settings), read_text(settings))
    # Imported after the settings were checked, so that findings appear without the import delay.
    from godwitpath.entry.daemon import run_daemon

    asyncio.run(run_daemon(loaded))
