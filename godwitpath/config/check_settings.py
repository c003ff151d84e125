"""Checks of a process's settings: values of the right type that are not valid."""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from godwitpath.config.document import Document, Path
from godwitpath.errors import Finding
from godwitpath.security.curve import CURVE_KEY_CHARS, is_curve_key, public_key_of

if TYPE_CHECKING:
    from godwitpath.settings import ProcessSettings

MAX_PORT = 65535
_KEY_PAIR_HINT = "create both with: godwitpath keys curve"


def check_names(document: Document, settings: ProcessSettings) -> Iterator[Finding]:
    """Yield a finding for each name that is empty or not valid in a store key."""
    for field in ("entry_id", "region", "availability_zone"):
        name = getattr(settings, field)
        if not name.strip():
            yield document.finding((field,), "must not be empty")
        elif "/" in name or not name.isprintable() or " " in name:
            yield document.finding((field,), "must not hold slashes or blanks")


def check_addresses(document: Document, settings: ProcessSettings) -> Iterator[Finding]:
    """Yield findings for ports out of range, URLs that are not HTTP and duplicate seeds."""
    for field in ("caller", "operator", "peer"):
        if not 0 <= getattr(settings, field).port <= MAX_PORT:
            yield document.finding((field, "port"), f"must be between 0 and {MAX_PORT}")
    for field in ("key_value_url", "cloud_url", "instance_list_url", "weight_store_url"):
        url = getattr(settings.platform, field)
        if url and not _is_http_url(url):
            hint = "such as http://10.0.0.9:2400"
            yield document.finding(("platform", field), "must be an HTTP URL", hint)
    seen: set[str] = set()
    for index, seed in enumerate(settings.seeds):
        if not 0 < seed.port <= MAX_PORT:
            message = f"must be between 1 and {MAX_PORT}"
            yield document.finding(("seeds", index, "port"), message)
        if seed.entry_id in seen:
            message = f"the seed {seed.entry_id} is listed twice"
            yield document.finding(("seeds", index, "entry_id"), message)
        seen.add(seed.entry_id)


def check_curve_keys(document: Document, settings: ProcessSettings) -> Iterator[Finding]:
    """Yield findings for malformed CURVE keys, and for an incomplete or mismatched key pair."""
    peer = settings.peer
    keys: list[tuple[Path, str]] = [
        (("peer", "public_key"), peer.public_key),
        (("peer", "secret_key"), peer.secret_key),
        *(
            (("peer", "accepted_public_keys", index), key)
            for index, key in enumerate(peer.accepted_public_keys)
        ),
        *(
            (("seeds", index, "public_key"), seed.public_key)
            for index, seed in enumerate(settings.seeds)
        ),
    ]
    for path, key in keys:
        if key and not is_curve_key(key):
            message = f"must be {CURVE_KEY_CHARS} characters in Z85 form"
            yield document.finding(path, message, _KEY_PAIR_HINT)
    if bool(peer.public_key) != bool(peer.secret_key):
        message = "public_key and secret_key belong together"
        yield document.finding(("peer",), message, _KEY_PAIR_HINT)
    both_valid = is_curve_key(peer.public_key) and is_curve_key(peer.secret_key)
    if both_valid and public_key_of(peer.secret_key) != peer.public_key:
        message = "is not the public key of secret_key"
        yield document.finding(("peer", "public_key"), message, _KEY_PAIR_HINT)


def check_tls(document: Document, settings: ProcessSettings) -> Iterator[Finding]:
    """Yield findings for unreadable files, and for a certificate or key file without the other."""
    tls = settings.caller.tls
    if bool(tls.certificate_file) != bool(tls.key_file):
        yield document.finding(("caller", "tls"), "certificate_file and key_file belong together")
    for field in ("certificate_file", "key_file"):
        file_path = getattr(tls, field)
        if file_path and not os.access(file_path, os.R_OK):
            yield document.finding(("caller", "tls", field), f"the file {file_path} cannot be read")


def check_times(document: Document, settings: ProcessSettings) -> Iterator[Finding]:
    """Yield findings for times out of range or inconsistent, and for a connection limit below 1."""
    membership = settings.membership
    times: list[tuple[Path, float]] = [
        (("caller", "header_timeout_s"), settings.caller.header_timeout_s),
        (("platform", "timeout_s"), settings.platform.timeout_s),
        (("membership", "probe_interval_s"), membership.probe_interval_s),
        (("membership", "probe_timeout_s"), membership.probe_timeout_s),
        (("membership", "suspicion_s"), membership.suspicion_s),
        (("drain_timeout_s",), settings.drain_timeout_s),
    ]
    for path, seconds in times:
        if not 0 < seconds < float("inf"):
            yield document.finding(path, "must be a number of seconds above 0")
    if membership.probe_timeout_s >= membership.probe_interval_s:
        path = ("membership", "probe_timeout_s")
        yield document.finding(path, "must be shorter than probe_interval_s")
    if settings.caller.max_connections < 1:
        yield document.finding(("caller", "max_connections"), "must be above 0")


CHECKS = (check_names, check_addresses, check_curve_keys, check_tls, check_times)


def _is_http_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
