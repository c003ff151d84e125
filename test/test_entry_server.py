"""Guards against connections held open by late or oversized headers and bodies.

The HTTP server of an entry must limit the size of headers and bodies and their time of arrival.
"""

from __future__ import annotations

import asyncio
import datetime
import ssl
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from godwitpath.entry.intake import read_body
from godwitpath.entry.refusals import CallerError, error_response
from godwitpath.entry.server import MAX_HEADER_BYTES, HttpServer
from godwitpath.ports.engine import Address
from godwitpath.settings import ListenSettings, TlsSettings

HEADER_TIMEOUT_S = 0.3
"""Time that the test server gives a client for the headers, and for the body."""

BODY_LIMIT_BYTES = 1000
"""Largest request body that the test server accepts."""


async def _echo(request: Request) -> Response:
    try:
        body = await read_body(request, BODY_LIMIT_BYTES, HEADER_TIMEOUT_S)
    except CallerError as error:
        return error_response(error, "req-1")
    return PlainTextResponse(body)


@pytest.fixture
async def address() -> AsyncIterator[Address]:
    app = Starlette(routes=[Route("/", _echo, methods=["POST"])])
    server = HttpServer(app, ListenSettings(), HEADER_TIMEOUT_S)
    await server.start()
    yield server.address
    await server.stop()


async def _exchange(address: Address, payload: bytes) -> bytes:
    """Send bytes and return everything received until the server closes the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(payload)
    try:
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        writer.close()


async def test_late_headers_close_the_connection(address: Address) -> None:
    assert await _exchange(address, b"POST / HTTP/1.1\r\nhost: x\r\n") == b""


async def test_oversized_headers_close_the_connection(address: Address) -> None:
    filler = b"a" * (MAX_HEADER_BYTES + 1)
    assert b"200" not in await _exchange(address, b"POST / HTTP/1.1\r\nx-filler: " + filler)


async def test_late_body_is_refused(address: Address) -> None:
    head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabc"
    assert b"body_timeout" in await _exchange(address, head)


@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 5000\r\n\r\n",
        b"transfer-encoding: chunked\r\n\r\n" + b"3e9\r\n" + b"a" * 1001 + b"\r\n0\r\n\r\n",
    ],
)
async def test_oversized_body_is_refused(address: Address, framing: bytes) -> None:
    head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
    assert b"body_too_large" in await _exchange(address, head + framing)


async def test_complete_body_is_accepted(address: Address) -> None:
    head = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc"
    assert (await _exchange(address, head)).endswith(b"abc")


def _self_signed(folder: Path) -> TlsSettings:
    """Write a self-signed certificate for localhost and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), critical=False)
        .sign(key, hashes.SHA256())
    )
    certificate_file, key_file = folder / "certificate.pem", folder / "key.pem"
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(str(certificate_file), str(key_file))


async def test_requests_are_served_over_tls(tmp_path: Path) -> None:
    tls = _self_signed(tmp_path)
    app = Starlette(routes=[Route("/", _echo, methods=["POST"])])
    server = HttpServer(app, ListenSettings(), HEADER_TIMEOUT_S, tls)
    await server.start()
    ssl_context = ssl.create_default_context(cafile=tls.certificate_file)
    reader, writer = await asyncio.open_connection(
        server.address.host, server.address.port, ssl=ssl_context, server_hostname="localhost"
    )
    writer.write(b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc")
    assert (await asyncio.wait_for(reader.read(), 10)).endswith(b"abc")
    writer.close()
    await server.stop()
