"""Commands that announce, list and cancel planned stops."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from godwitpath.commands.console import JsonOption, print_json, print_table
from godwitpath.commands.exit_codes import NotFound
from godwitpath.commands.platform_store import SettingsOption, StoreOption, with_store
from godwitpath.config.stops import announce_stop, cancel_stop, list_stops
from godwitpath.upstreams.stops import StopKind

app = typer.Typer(help="Planned stops of entries, upstreams and availability zones.")

KindArgument = Annotated[
    StopKind, typer.Argument(help="Kind of what stops: entry, upstream or zone.")
]
NameArgument = Annotated[str, typer.Argument(help="Name of the entry, instance or zone.")]


@app.command("announce")
def announce(
    kind: KindArgument,
    name: NameArgument,
    reason: Annotated[str, typer.Option(help="Reason for the stop, shown by list.")] = "",
    store: StoreOption = "",
    settings: SettingsOption = None,
    json_output: JsonOption = False,
) -> None:
    """Announce a planned stop: no new work is sent there, and running work is finished.

    Example: godwitpath stop announce zone cape-db --reason "maintenance of the hall"
    """
    stop, is_new = with_store(store, settings, lambda kv: announce_stop(kv, kind, name, reason))
    if json_output:
        print_json({"stop": stop, "new": is_new})
    elif is_new:
        typer.echo(f"announced: {kind} {name} takes no new work")
    else:
        typer.echo(f"already announced at {stop.announced_at}: {kind} {name} ({stop.reason})")


@app.command("list")
def show_list(
    store: StoreOption = "", settings: SettingsOption = None, json_output: JsonOption = False
) -> None:
    """List the announced stops.

    Example: godwitpath stop list --store http://10.0.0.9:2400
    """
    stops = with_store(store, settings, list_stops)
    if json_output:
        print_json(stops)
    elif stops:
        print_table(msgspec.to_builtins(stops))
    else:
        typer.echo("no stop is announced")


@app.command("cancel")
def cancel(
    kind: KindArgument,
    name: NameArgument,
    store: StoreOption = "",
    settings: SettingsOption = None,
    json_output: JsonOption = False,
) -> None:
    """Cancel an announced stop: new work is sent there again.

    Example: godwitpath stop cancel zone cape-db
    """
    if not with_store(store, settings, lambda kv: cancel_stop(kv, kind, name)):
        raise NotFound(f"no stop of {kind} {name} is announced; see: godwitpath stop list")
    if json_output:
        print_json({"kind": kind, "name": name, "cancelled": True})
    else:
        typer.echo(f"cancelled: {kind} {name} takes work again")
