"""The command that shows the status of all entries and upstreams, as known to one entry."""

from __future__ import annotations

from typing import Any

import typer

from godwitpath.commands.console import JsonOption, print_json, print_table
from godwitpath.commands.operator_client import (
    DEFAULT_ENTRY,
    EntryOption,
    OperatorKeyOption,
    get_from_entry,
)


def status(
    entry: EntryOption = DEFAULT_ENTRY,
    operator_key: OperatorKeyOption = "",
    json_output: JsonOption = False,
) -> None:
    """Show every entry and every upstream: readiness, revision in force, what really runs.

    Example: godwitpath status --entry http://10.0.0.5:8081
    """
    fleet_status = get_from_entry(entry, operator_key, "/admin/status")
    if json_output:
        print_json(fleet_status)
        return
    for name, value in fleet_status.items():
        _print_section(name, value)


def _print_section(name: str, value: Any) -> None:
    if isinstance(value, dict) and all(isinstance(item, dict) for item in value.values()):
        value = [{"name": key, **item} for key, item in value.items()]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        typer.echo()
        typer.secho(name, bold=True)
        print_table(value)
    else:
        typer.echo(f"{name}: {value if value not in (None, [], {}) else '-'}")
