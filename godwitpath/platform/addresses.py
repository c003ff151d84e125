"""Parses the addresses that the platform and the engines state."""

from __future__ import annotations

import re

from godwitpath.decoding import is_ip_address
from godwitpath.ports.engine import Address

_PORT = re.compile(r"[1-9][0-9]{0,4}")

MAX_PORT = 65535


def parse_address(text: str) -> Address | None:
    """Return the address of `HOST:PORT`, None if there is no such port."""
    host, _, port = text.rpartition(":")
    if not host or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        return None
    return Address(host, int(port))


def parse_ip_address(text: str) -> Address | None:
    """Return the address of `HOST:PORT`, None if the host is not an IPv4 address."""
    address = parse_address(text)
    return address if address is not None and is_ip_address(address.host) else None
