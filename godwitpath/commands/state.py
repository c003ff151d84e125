"""The command that dumps the state of one entry."""

from __future__ import annotations

from godwitpath.commands.console import JsonOption, print_json
from godwitpath.commands.operator_client import (
    DEFAULT_ENTRY,
    EntryOption,
    OperatorKeyOption,
    get_from_entry,
)


def state(
    entry: EntryOption = DEFAULT_ENTRY,
    operator_key: OperatorKeyOption = "",
    json_output: JsonOption = False,
) -> None:
    """Dump everything that one entry knows and does, without secrets; always JSON.

    Example: godwitpath state --entry http://10.0.0.5:8081
    """
    print_json(get_from_entry(entry, operator_key, "/admin/state"))
