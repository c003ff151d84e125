"""The command line: one module a command, put together here.

This is the only place that catches :class:`godwitpath.errors.GodwitpathError`.
"""

from __future__ import annotations

import sys

import typer

from godwitpath.commands import serve, version
from godwitpath.errors import GodwitpathError

EXIT_WRONG_INPUT = 2
"""Exit code when a file, an argument or the state of the system forbids the command."""

app = typer.Typer(
    name="godwitpath",
    help="Serves language-model applications and companion services.",
    no_args_is_help=True,
)
app.command("serve")(serve.serve)
app.command("version")(version.version)


def main() -> None:
    """Run the command line and turn errors meant for people into an exit code."""
    try:
        app()
    except GodwitpathError as error:
        typer.echo(str(error), err=True)
        sys.exit(EXIT_WRONG_INPUT)
