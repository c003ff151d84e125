"""The command that checks a platform settings file before a daemon loads it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from godwitpath.commands.console import read_text
from godwitpath.platform.settings import decode_settings


def check_settings(
    file: Annotated[Path, typer.Argument(help="Settings file as the platform writes it.")],
) -> None:
    """Report every finding in a settings file of the platform, with its place.

    Example: godwitpath check-settings settings.json
    """
    settings = decode_settings(read_text(file).encode(), str(file))
    typer.echo(f"{file}: sound; {settings.name} in {settings.zone} ({settings.region})")
