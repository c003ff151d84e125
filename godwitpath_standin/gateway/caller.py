"""A caller that reads responses by itself, so that what it sees owes nothing to the gateway."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from godwitpath_standin.gateway.documents import KEY


@dataclass(slots=True)
class Answer:
    """A response as a caller sees it.

    :ivar complete: whether its end arrived
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
) -> Answer:
    """Send a request on a new connection and read the response to its end."""
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
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response; one that is cut short is not complete."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()) or b"x", 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer
