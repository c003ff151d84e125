"""Commands that list and lift verdicts on prompts that crash engines, on the users' platform."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpath.commands.console import JsonOption, print_json, read_text
from godwitpath.commands.exit_codes import NotFound
from godwitpath.gateway.quarantine_store import (
    QUARANTINE_KEY,
    StoredQuarantine,
    decode_quarantine,
    lift,
)
from godwitpath.gateway.store import Precondition, Put, Store
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.platform.settings import decode_settings

app = typer.Typer(help="Prompts that are refused because a part of them crashes engines.")

PlatformSettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file of a daemon, as the platform writes it.")
]


def open_platform_store(settings_file: Path) -> Store:
    """Return a client of the store that a settings file of the platform names."""
    settings = decode_settings(read_text(settings_file).encode(), str(settings_file))
    return PlatformAdapter(settings).store


@app.command("list")
def list_verdicts(settings: PlatformSettingsOption, json_output: JsonOption = False) -> None:
    """List the quarantined requests and parts of prompts with the crashes that speak for each.

    Example: godwitpath quarantine list --settings settings.json
    """
    item = asyncio.run(open_platform_store(settings).get(QUARANTINE_KEY))
    stored = decode_quarantine(item)
    if json_output:
        print_json(msgspec.to_builtins(stored))
        return
    now_s = time.time()
    for verdict in stored.verdicts:
        typer.echo(
            f"{' + '.join(verdict.subjects)}: {verdict.crashes} crashes,"
            f" the first {now_s - verdict.since_s:.0f} s ago"
        )
    if not stored.verdicts:
        typer.echo("nothing is quarantined")


@app.command("lift")
def lift_verdict(
    subject: Annotated[str, typer.Argument(help="Quarantined request or part of a prompt.")],
    settings: PlatformSettingsOption,
) -> None:
    """Lift the verdicts on a subject; requests with it are sent again until engines crash anew.

    Example: godwitpath quarantine lift 91bd3f06 --settings settings.json
    """
    asyncio.run(lift_in_store(open_platform_store(settings), subject, time.time()))
    typer.echo(f"{subject}: lifted")


async def lift_in_store(store: Store, subject: str, now_s: float) -> None:
    """Lift the verdicts on a subject.

    :param now_s: time in seconds since 1970
    :raises NotFound: there is none
    """
    item = await store.get(QUARANTINE_KEY)
    stored = decode_quarantine(item)
    if not any(subject in verdict.subjects for verdict in stored.verdicts):
        raise NotFound(f"{subject} is not quarantined")
    value: StoredQuarantine = lift(stored, subject, now_s)
    revision = item.revision if item is not None else 0
    await store.transact(
        [Precondition(QUARANTINE_KEY, revision)], [Put(QUARANTINE_KEY, msgspec.json.encode(value))]
    )
