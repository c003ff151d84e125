"""HTTP client with its own response parser, independent of the code of the gateway."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from godwitpath_standin.gateway.documents import KEY


@dataclass(slots=True)
class ClientResponse:
    """A response as a caller receives it.

    :ivar status: HTTP status, 0 without a response
    :ivar headers: headers by lower-case name
    :ivar complete: whether the whole body arrived
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def ask(
    port: int,
    target: str,
    *,
    method: str = "GET",
    key: str = KEY,
    body: bytes = b"",
    request_id: str = "r1",
    host: str = "shop.example",
    headers: dict[str, str] | None = None,
    timeout_s: float = 8.0,
    response: ClientResponse | None = None,
) -> ClientResponse:
    """Send a request on a new connection and read the whole response.

    :param response: filled while the response arrives, None for a new one
    :raises TimeoutError: the response is not complete after `timeout_s`
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {request_id}"]
    if key:
        lines.append(f"Api-Key: {key}")
    fields = {"X-Deadline-Ms": "5000"} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_response(reader, response)
        finally:
            writer.close()


async def read_response(
    reader: asyncio.StreamReader, response: ClientResponse | None = None
) -> ClientResponse:
    """Read one response; a truncated or invalid one is returned with `complete` unset.

    :param response: filled while the response arrives, None for a new one
    """
    if response is None:
        response = ClientResponse()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        response.status = int(lines[0].split(" ")[1])
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            response.headers[name.strip().lower()] = value.strip()
        if response.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()) or b"x", 16):
                response.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(response.headers.get("content-length", "0"))
            response.body = await reader.readexactly(length)
        response.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return response
