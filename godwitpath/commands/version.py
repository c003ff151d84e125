"""The command that prints the version."""

from __future__ import annotations

import platform

import typer

from godwitpath import __version__
from godwitpath.commands.console import JsonOption, print_json


def version(json_output: JsonOption = False) -> None:
    """Print the version.

    Example: godwitpath version --json
    """
    if json_output:
        print_json({"version": __version__, "python": platform.python_version()})
    else:
        typer.echo(__version__)
