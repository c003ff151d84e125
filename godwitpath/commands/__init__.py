"""The command line, assembled from the command modules of this package."""

from __future__ import annotations

import typer

from godwitpath.commands import (
    check_settings,
    config,
    explain,
    keys,
    quarantine,
    serve,
    state,
    status,
    stop,
    version,
)
from godwitpath.commands.console import ErrorHandlingGroup

app = typer.Typer(
    name="godwitpath",
    cls=ErrorHandlingGroup,
    help="Serves language-model applications and companion services.",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
app.command("serve")(serve.serve)
app.command("check-settings")(check_settings.check_settings)
app.add_typer(config.app, name="config", no_args_is_help=True)
app.add_typer(stop.app, name="stop", no_args_is_help=True)
app.command("status")(status.status)
app.command("state")(state.state)
app.command("explain")(explain.explain)
app.add_typer(keys.app, name="keys", no_args_is_help=True)
app.add_typer(quarantine.app, name="quarantine", no_args_is_help=True)
app.command("version")(version.version)


def main() -> None:
    """Run the command line; expected errors become messages and exit codes."""
    app(prog_name="godwitpath")
