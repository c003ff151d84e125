"""Options and access of the commands to the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from godwitpath.commands.console import read_text
from godwitpath.errors import GodwitpathError
from godwitpath.ports.kv import KeyValueStore
from godwitpath.settings import load_settings

T = TypeVar("T")

TIMEOUT_S = 5.0

StoreOption = Annotated[
    str,
    typer.Option(
        "--store", envvar="GODWITPATH_STORE", help="Base URL of the platform's key-value service."
    ),
]
SettingsOption = Annotated[
    Path | None,
    typer.Option("--settings", help="Settings file to take the address from instead."),
]


class StoreNotNamed(GodwitpathError):
    """The command needs the key-value service, but no option gives its address."""

    def __init__(self) -> None:
        super().__init__(
            "where is the key-value service? give --store URL, --settings FILE"
            " or the environment variable GODWITPATH_STORE"
        )


def open_store(url: str, settings_file: Path | None) -> KeyValueStore:
    """Return a client of the key-value service that the options name.

    :param url: base URL of the service, empty to take it from the settings file
    :param settings_file: settings file of a process, None for none
    :raises StoreNotNamed: neither option gives an address
    """
    # Imported here, since most commands do not use the store.
    from godwitpath.adapters.kv_http import HttpKeyValueStore

    if not url and settings_file is not None:
        settings = load_settings(str(settings_file), read_text(settings_file))
        url = settings.platform.key_value_url
    if not url:
        raise StoreNotNamed
    return HttpKeyValueStore(url, TIMEOUT_S)


def with_store(
    url: str, settings_file: Path | None, operation: Callable[[KeyValueStore], Awaitable[T]]
) -> T:
    """Run an operation on the key-value service that the options name, and return its result."""

    async def run() -> T:
        return await operation(open_store(url, settings_file))

    return asyncio.run(run())
