"""The command that shows the decisions about a request or a configuration change."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpath.commands.console import JsonOption, print_json, read_text
from godwitpath.commands.exit_codes import EntryUnreachable, NotFound
from godwitpath.commands.operator_client import (
    DEFAULT_ENTRY,
    EntryOption,
    OperatorKeyOption,
    get_from_entry,
    quote_path_segment,
)
from godwitpath.errors import GodwitpathError
from godwitpath.explain.record import DecisionRecord, DecisionTrace
from godwitpath.gateway.request_trace import LogLine, parse_lines, trace_request


def explain(
    subject_id: Annotated[
        str, typer.Argument(help="Request identifier, or configuration/REVISION.")
    ],
    around: Annotated[
        str, typer.Option(help="When it happened, such as 2026-03-01T14:00; speeds the search.")
    ] = "",
    entry: EntryOption = DEFAULT_ENTRY,
    operator_key: OperatorKeyOption = "",
    log: Annotated[
        str, typer.Option(help="Read log lines of the platform's daemons; - reads standard input.")
    ] = "",
    json_output: JsonOption = False,
) -> None:
    """Show the decisions about a request or a configuration change, and their reasons.

    Any entry can be asked, even if the entry that made the decisions has failed. With --log, the
    decisions come from log lines of the platform's daemons instead, and no entry is asked.

    Example: godwitpath explain req-5f0c... --around 2026-03-01T14:00
    """
    if log:
        _explain_from_log(subject_id, log, json_output)
        return
    query = f"?around_s={_parse_time(around):.0f}" if around else ""
    response = get_from_entry(
        entry, operator_key, f"/admin/explain/{quote_path_segment(subject_id)}{query}"
    )
    try:
        trace = msgspec.convert(response, DecisionTrace)
    except msgspec.ValidationError as error:
        raise EntryUnreachable(f"the entry's response is not a decision trace: {error}") from error
    if json_output:
        print_json(trace)
    elif trace.records:
        _print_trace(trace)
    if not trace.records:
        note = f" ({trace.note})" if trace.note else ""
        raise NotFound(f"nothing is known of {subject_id}{note}")


def _explain_from_log(request_id: str, log: str, json_output: bool) -> None:
    text = sys.stdin.read() if log == "-" else read_text(Path(log))
    lines = trace_request(request_id, parse_lines(text.splitlines()))
    if json_output:
        print_json([{name: getattr(line, name) for name in LogLine.__slots__} for line in lines])
    for line in [] if json_output else lines:
        timestamp = datetime.fromtimestamp(line.at_s, UTC).isoformat(timespec="milliseconds")
        values = " ".join(f"{name}={value}" for name, value in line.fields.items())
        prefix = "" if line.own else "  (beside) "
        typer.echo(f"{timestamp}  {line.daemon}  {prefix}{line.kind}: {values}")
    if not lines:
        raise NotFound(f"no line names {request_id}")


def _parse_time(text: str) -> float:
    try:
        timestamp = datetime.fromisoformat(text)
    except ValueError as error:
        raise GodwitpathError(f"--around: {text} is not a time in RFC 3339 form") from error
    return (timestamp if timestamp.tzinfo else timestamp.replace(tzinfo=UTC)).timestamp()


def _print_trace(trace: DecisionTrace) -> None:
    typer.secho(trace.subject_id, bold=True)
    for record in trace.records:
        _print_record(record)
    if not trace.complete:
        typer.secho(f"incomplete: {trace.note}", fg=typer.colors.YELLOW)


def _print_record(record: DecisionRecord) -> None:
    timestamp = datetime.fromtimestamp(record.at, UTC).isoformat(timespec="milliseconds")
    account = f" for {record.account}" if record.account else ""
    typer.echo(f"{timestamp}  {record.entry_id}  {record.kind}{account}: {record.chosen}")
    for name, value in record.known.items():
        typer.echo(f"    known: {name} = {value}")
    for alternative in record.alternatives:
        typer.echo(f"    also possible: {alternative}")
