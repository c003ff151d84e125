"""The command that prints the version."""

from __future__ import annotations

import typer

from godwitpath import __version__


def version() -> None:
    """Print the version."""
    typer.echo(__version__)
