"""Output and error handling of the commands: text or JSON, and exit codes."""

from __future__ import annotations

import dataclasses
import json
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from typer.core import TyperGroup

from godwitpath.commands.exit_codes import exit_code
from godwitpath.config.submit import ConfigConflict, SubmissionUnknown
from godwitpath.errors import FindingsError, GodwitpathError

_JSON_KEY = "godwitpath.json"


def _set_json_output(context: typer.Context, value: bool) -> bool:
    if value:
        context.find_root().meta[_JSON_KEY] = True
    return value


JsonOption = Annotated[
    bool,
    typer.Option(
        "--json", help="Print JSON for programs.", callback=_set_json_output, is_eager=True
    ),
]


class UnreadableFile(GodwitpathError):
    """A file cannot be read."""


class ErrorHandlingGroup(TyperGroup):
    """Top-level command group that prints expected errors and exits with their exit codes."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command.

        :raises typer.Exit: the command raised a GodwitpathError
        """
        try:
            return super().invoke(ctx)
        except GodwitpathError as error:
            print_error(error, as_json=bool(ctx.meta.get(_JSON_KEY)))
            raise typer.Exit(exit_code(error)) from error
        except ExceptionGroup as group:
            expected_errors, other_errors = group.split(GodwitpathError)
            if expected_errors is None or other_errors is not None:
                raise
            leaves = list(_leaves(expected_errors))
            for leaf in leaves:
                print_error(leaf, as_json=bool(ctx.meta.get(_JSON_KEY)))
            raise typer.Exit(max(map(exit_code, leaves))) from group


def _leaves(group: BaseExceptionGroup[Any]) -> Iterable[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


def print_error(error: BaseException, as_json: bool) -> None:
    """Print an error to standard error, as JSON or as text."""
    if as_json:
        typer.echo(json.dumps(error_fields(error), ensure_ascii=False), err=True)
    elif isinstance(error, FindingsError):
        _print_findings(error)
    else:
        typer.secho(f"error: {error}", fg=typer.colors.RED, err=True)


def error_fields(error: BaseException) -> dict[str, Any]:
    """Return the fields of an error's JSON output."""
    fields: dict[str, Any] = {"error": type(error).__name__, "message": str(error)}
    if isinstance(error, FindingsError):
        fields["source"] = error.source
        fields["findings"] = [dataclasses.asdict(item) for item in error.findings]
    if isinstance(error, ConfigConflict):
        fields["revision"] = error.current.revision
        fields["differences"] = [dataclasses.asdict(item) for item in error.differences]
    if isinstance(error, SubmissionUnknown):
        fields["submission_id"] = error.submission_id
    return fields


def _print_findings(error: FindingsError) -> None:
    for finding in error.findings:
        location = (
            f"{error.source}:{finding.line}:{finding.column}" if finding.line else error.source
        )
        typer.echo(f"{typer.style(location, bold=True)}: {finding.pointer or '/'}", err=True)
        typer.secho(f"    {finding.message}", fg=typer.colors.RED, err=True)
        if finding.hint:
            typer.echo(f"    hint: {finding.hint}", err=True)
    count = len(error.findings)
    typer.echo(f"{count} finding{'s' if count != 1 else ''}", err=True)


def read_text(path: Path) -> str:
    """Return the text of a file; `-` stands for standard input.

    :raises UnreadableFile: the file cannot be read or is not UTF-8 text
    """
    try:
        return sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
    except OSError as error:
        raise UnreadableFile(f"cannot read {path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UnreadableFile(f"cannot read {path}: it is not UTF-8 text") from error


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(rows: Iterable[Mapping[str, Any]]) -> None:
    """Print rows as aligned columns; the keys of the first row become the header."""
    formatted_rows = [{name: _format_cell(value) for name, value in row.items()} for row in rows]
    if not formatted_rows:
        return
    names = list(formatted_rows[0])
    widths = {
        name: max(len(name), *(len(row.get(name, "")) for row in formatted_rows)) for name in names
    }
    header_line = "  ".join(name.upper().ljust(widths[name]) for name in names)
    typer.secho(header_line.rstrip(), bold=True)
    for row in formatted_rows:
        line = "  ".join(row.get(name, "").ljust(widths[name]) for name in names)
        typer.echo(line.rstrip())


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(_format_cell, value)) or "-"
    if isinstance(value, dict):
        return json.dumps(value, ensure_ascii=False)
    return "-" if value in (None, "") else str(value)
