"""Commands that check, compare, submit and show the operators' configuration."""

from __future__ import annotations

import dataclasses
import getpass
from pathlib import Path
from typing import Annotated

import typer

from godwitpath.commands.console import JsonOption, print_json, print_table, read_text
from godwitpath.commands.exit_codes import NotFound
from godwitpath.commands.platform_store import SettingsOption, StoreOption, with_store
from godwitpath.config import submit as submission
from godwitpath.config.check import parse_configuration
from godwitpath.config.diff import Difference, diff_configurations
from godwitpath.config.envelope import ConfigEnvelope
from godwitpath.config.schema import configuration_schema, schema_text, settings_schema
from godwitpath.ports.kv import KeyValueStore

app = typer.Typer(help="Check, compare and submit the configuration.")

FileArgument = Annotated[Path, typer.Argument(help="Configuration file; - reads standard input.")]


@app.command("check")
def check(file: FileArgument, json_output: JsonOption = False) -> None:
    """Report everything that is wrong with a configuration, with its place.

    Example: godwitpath config check configuration.json
    """
    configuration = parse_configuration(str(file), read_text(file))
    services = len(configuration.services)
    accounts = len(configuration.accounts)
    if json_output:
        print_json({"findings": [], "services": services, "accounts": accounts})
    else:
        typer.echo(f"{file}: no findings ({services} services, {accounts} accounts)")


@app.command("show")
def show(
    revision: Annotated[int, typer.Option(help="Revision to show; 0 is the newest.")] = 0,
    store: StoreOption = "",
    settings: SettingsOption = None,
    json_output: JsonOption = False,
) -> None:
    """Print the text of the configuration in force, or of an earlier revision.

    Example: godwitpath config show --revision 12 > configuration.json
    """
    envelope = with_store(store, settings, lambda kv: _load_envelope(kv, revision))
    if json_output:
        print_json(envelope)
    else:
        typer.echo(envelope.text, nl=not envelope.text.endswith("\n"))


@app.command("diff")
def diff(
    file: FileArgument,
    other: Annotated[
        Path | None, typer.Argument(help="File to compare with; the one in force when not given.")
    ] = None,
    store: StoreOption = "",
    settings: SettingsOption = None,
    json_output: JsonOption = False,
) -> None:
    """Show what a file changes against the configuration in force, or against another file.

    Example: godwitpath config diff configuration.json --store http://10.0.0.9:2400
    """
    new = parse_configuration(str(file), read_text(file))
    if other is not None:
        old = parse_configuration(str(other), read_text(other))
    else:
        envelope = with_store(store, settings, lambda kv: _load_envelope(kv, 0))
        old = parse_configuration(f"revision {envelope.revision}", envelope.text)
    _print_differences(diff_configurations(old, new), json_output)


@app.command("submit")
def submit(
    file: FileArgument,
    reason: Annotated[
        str, typer.Option(help="Reason for the change, shown by history and explain.")
    ],
    author: Annotated[
        str, typer.Option(help="Author of the change; your login name if not given.")
    ] = "",
    base: Annotated[
        int, typer.Option(help="Revision that the text was written against; checked when given.")
    ] = submission.ANY_REVISION,
    submission_id: Annotated[
        str, typer.Option(help="Identifier of an earlier submission with an unknown outcome.")
    ] = "",
    store: StoreOption = "",
    settings: SettingsOption = None,
    json_output: JsonOption = False,
) -> None:
    """Make a file the configuration in force, unless another change was accepted first.

    Example: godwitpath config submit configuration.json --base 12 --reason "more planners"
    """
    text = read_text(file)
    author = author or getpass.getuser()
    result = with_store(
        store,
        settings,
        lambda kv: submission.submit(kv, text, author, reason, submission_id, base, str(file)),
    )
    envelope = result.envelope
    if json_output:
        fields = {
            "revision": envelope.revision,
            "submission_id": envelope.submission_id,
            "unchanged": result.unchanged,
            "differences": [dataclasses.asdict(item) for item in result.differences],
        }
        print_json(fields)
    elif result.unchanged:
        typer.echo(f"revision {envelope.revision} already has this text; nothing was written")
    else:
        typer.echo(f"accepted as revision {envelope.revision}")
    if not json_output and result.differences:
        _print_differences(result.differences, json_output=False)


@app.command("history")
def history(
    store: StoreOption = "", settings: SettingsOption = None, json_output: JsonOption = False
) -> None:
    """List every accepted configuration: who, when and why.

    Example: godwitpath config history
    """
    envelopes = with_store(store, settings, submission.history)
    rows = [
        {
            "revision": item.revision,
            "submitted_at": item.submitted_at,
            "author": item.author,
            "digest": item.digest[:12],
            "reason": item.reason,
        }
        for item in envelopes
    ]
    if json_output:
        print_json(rows)
    else:
        print_table(rows)


@app.command("schema")
def schema(
    of_settings: Annotated[
        bool, typer.Option("--settings", help="Schema of a process's settings instead.")
    ] = False,
    json_output: JsonOption = False,
) -> None:
    """Print the JSON Schema of a configuration, for completion and checks in an editor.

    Example: godwitpath config schema > configuration.schema.json
    """
    value = settings_schema() if of_settings else configuration_schema()
    typer.echo(schema_text(value), nl=False)


async def _load_envelope(store: KeyValueStore, revision: int) -> ConfigEnvelope:
    if revision:
        envelope = await submission.accepted_envelope(store, revision)
    else:
        envelope = await submission.current_envelope(store)
    if envelope is None:
        missing = f"revision {revision}" if revision else "configuration"
        raise NotFound(f"the store holds no {missing}; see: godwitpath config history")
    return envelope


def _print_differences(differences: list[Difference], json_output: bool) -> None:
    colours = {"added": typer.colors.GREEN, "removed": typer.colors.RED}
    if json_output:
        print_json([dataclasses.asdict(item) for item in differences])
        return
    for difference in differences:
        typer.secho(str(difference), fg=colours.get(difference.change, typer.colors.YELLOW))
    if not differences:
        typer.echo("no difference in meaning")
