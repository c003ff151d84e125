"""HTTP client of the commands for the operator address of an entry."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any
from urllib.parse import quote

import typer
from aiosonic import HTTPClient, Timeouts
from aiosonic.exceptions import AiosonicError

from godwitpath.commands.exit_codes import EntryUnreachable, NotFound

TIMEOUT_S = 10.0

EntryOption = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="GODWITPATH_ENTRY",
        help="Operator address of any entry, such as http://10.0.0.5:8081.",
    ),
]
OperatorKeyOption = Annotated[
    str,
    typer.Option(
        "--operator-key",
        envvar="GODWITPATH_OPERATOR_KEY",
        help="Operator key; better given in the environment.",
        show_envvar=True,
    ),
]

DEFAULT_ENTRY = "http://127.0.0.1:8081"


def get_from_entry(entry: str, operator_key: str, path: str) -> Any:
    """Return the decoded JSON response of an entry to a GET request.

    :param entry: base URL of the entry's operator address
    :param operator_key: bearer token, empty for none
    :param path: path and query of the request, already quoted
    :raises EntryUnreachable: the entry did not respond, or refused the request
    :raises NotFound: the entry does not know the requested object
    """
    return asyncio.run(_get(entry.rstrip("/"), operator_key, path))


def quote_path_segment(name: str) -> str:
    """Return a name quoted for use as one segment of a URL path."""
    return quote(name, safe="")


async def _get(entry: str, operator_key: str, path: str) -> Any:
    if not entry.startswith(("http://", "https://")):
        entry = f"http://{entry}"
    headers = {"Authorization": f"Bearer {operator_key}"} if operator_key else {}
    timeouts = Timeouts(sock_connect=TIMEOUT_S, sock_read=TIMEOUT_S, request_timeout=TIMEOUT_S)
    async with HTTPClient() as client:
        try:
            response = await client.get(f"{entry}{path}", headers=headers, timeouts=timeouts)
            body = await response.content()
        except (OSError, AiosonicError, ValueError) as error:
            raise EntryUnreachable(
                f"the entry at {entry} does not answer: {error or type(error).__name__};"
                " give the operator address of a running entry with --entry"
            ) from error
    return _decode_response(entry, response.status_code, body)


def _decode_response(entry: str, status: int, body: bytes) -> Any:
    if status in (401, 403):
        raise EntryUnreachable(
            f"the entry at {entry} refused the operator key;"
            " set GODWITPATH_OPERATOR_KEY to the key of its settings"
        )
    if status == 404:
        raise NotFound(f"the entry at {entry} knows nothing of it")
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise EntryUnreachable(
            f"{entry} answered {status} without JSON; is it an operator address?"
        ) from error
    if status >= 400 and status != 503:
        raise EntryUnreachable(f"the entry at {entry} answered {status}: {decoded}")
    return decoded
