"""Checks of the client accounts and prices of a configuration."""

from __future__ import annotations

import re
from collections.abc import Iterator

from godwitpath.config.decode import nearest_hint
from godwitpath.config.model import Account
from godwitpath.config.view import CheckedView
from godwitpath.errors import Finding

MAX_RATE_PER_S = 1e9
MAX_BURST_S = 3_600.0
MAX_PRICE = 10_000.0
MAX_EXPLANATION_KEEP_S = 366 * 86_400.0

_SALT = re.compile(r"(?:[0-9a-f]{2}){8,64}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_KEY_HINT = "create it with: godwitpath keys new"


def _accounts(view: CheckedView) -> Iterator[tuple[str, Account]]:
    yield from view.configuration.accounts.items()


def check_names(view: CheckedView) -> Iterator[Finding]:
    """Yield accounts whose name is empty or cannot stand in a key of the store."""
    for name, _ in _accounts(view):
        if not name or "/" in name or name != name.strip() or not name.isprintable():
            message = "the name of an account must not be empty or hold slashes or blanks"
            yield view.document.finding(("accounts", name), message)


def check_keys(view: CheckedView) -> Iterator[Finding]:
    """Yield hashes of API keys that no key can match, and hashes that stand twice."""
    owners: dict[str, str] = {}
    for name, account in _accounts(view):
        if not view.sound(("accounts", name, "keys")):
            continue
        if not account.keys:
            message = "the account has no API key, so nobody can call for it"
            yield view.document.finding(("accounts", name, "keys"), message, _KEY_HINT)
        for path, key in view.items(("accounts", name, "keys"), account.keys):
            if not _SALT.fullmatch(key.salt):
                message = "the salt must be 16 to 128 hexadecimal digits in lower case"
                yield view.document.finding((*path, "salt"), message, _KEY_HINT)
            if not _SHA256.fullmatch(key.sha256):
                message = "the hash must be 64 hexadecimal digits in lower case"
                yield view.document.finding((*path, "sha256"), message, _KEY_HINT)
            owner = owners.get(key.salt + key.sha256)
            if owner is not None:
                message = f"the same key already belongs to the account {owner}"
                yield view.document.finding(path, message)
            owners[key.salt + key.sha256] = name


def check_services(view: CheckedView) -> Iterator[Finding]:
    """Yield services of an account that are not defined."""
    known = view.service_names()
    for name, account in _accounts(view):
        if not view.sound(("accounts", name, "services")):
            continue
        for path, service in view.items(("accounts", name, "services"), account.services):
            if service not in known:
                hint = nearest_hint(service, known)
                yield view.document.finding(path, f"unknown service {service}", hint)


def check_units(view: CheckedView) -> Iterator[Finding]:
    """Yield rates, prices and times that are negative or absurd for their unit."""
    for name, account in _accounts(view):
        path = ("accounts", name)
        yield from view.between(
            (*path, "requests_per_s"), account.requests_per_s, 0, MAX_RATE_PER_S
        )
        yield from view.between((*path, "tokens_per_s"), account.tokens_per_s, 0, MAX_RATE_PER_S)
        yield from view.between((*path, "burst_s"), account.burst_s, 0, MAX_BURST_S)
    keep_s = view.configuration.explanation_keep_s
    yield from view.between(("explanation_keep_s",), keep_s, 0, MAX_EXPLANATION_KEEP_S)
    for field in ("cross_region_per_gb", "recomputed_per_million_tokens"):
        price = getattr(view.configuration.prices, field)
        if view.sound(("prices", field)) and not 0 <= price <= MAX_PRICE:
            message = f"must be between 0 and {MAX_PRICE:g}"
            yield view.document.finding(("prices", field), message)


CHECKS = (check_names, check_keys, check_services, check_units)
