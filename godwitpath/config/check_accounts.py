"""Checks of the client accounts, the prices and the record retention of a configuration."""

from __future__ import annotations

import re
from collections.abc import Iterator

from godwitpath.config.decode import nearest_hint
from godwitpath.config.model import Account
from godwitpath.config.view import ConfigurationView
from godwitpath.errors import Finding

MAX_RATE_PER_S = 1e9
MAX_BURST_S = 3_600.0
MAX_TRAFFIC_PRICE = 10_000.0
MAX_EXPLANATION_RETENTION_S = 366 * 86_400.0

_SALT_PATTERN = re.compile(r"(?:[0-9a-f]{2}){8,64}")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_NEW_KEY_HINT = "create it with: godwitpath keys new"


def _accounts(view: ConfigurationView) -> Iterator[tuple[str, Account]]:
    yield from view.configuration.accounts.items()


def check_names(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each account name that is empty or not valid in a store key."""
    for name, _ in _accounts(view):
        if not name or "/" in name or name != name.strip() or not name.isprintable():
            message = "the name of an account must not be empty or hold slashes or blanks"
            yield view.document.finding(("accounts", name), message)


def check_keys(view: ConfigurationView) -> Iterator[Finding]:
    """Yield findings for accounts without keys, malformed salts and hashes, and duplicate keys."""
    owners: dict[str, str] = {}
    for name, account in _accounts(view):
        if not view.is_decoded(("accounts", name, "keys")):
            continue
        if not account.keys:
            message = "the account has no API key, so it cannot make calls"
            yield view.document.finding(("accounts", name, "keys"), message, _NEW_KEY_HINT)
        for path, key in view.items(("accounts", name, "keys"), account.keys):
            if not _SALT_PATTERN.fullmatch(key.salt):
                message = "the salt must be 16 to 128 hexadecimal digits in lower case"
                yield view.document.finding((*path, "salt"), message, _NEW_KEY_HINT)
            if not _SHA256_PATTERN.fullmatch(key.sha256):
                message = "the hash must be 64 hexadecimal digits in lower case"
                yield view.document.finding((*path, "sha256"), message, _NEW_KEY_HINT)
            owner = owners.get(key.salt + key.sha256)
            if owner is not None:
                message = f"the same key already belongs to the account {owner}"
                yield view.document.finding(path, message)
            owners[key.salt + key.sha256] = name


def check_services(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each service of an account that is not defined."""
    defined_services = view.service_names()
    for name, account in _accounts(view):
        if not view.is_decoded(("accounts", name, "services")):
            continue
        for path, service in view.items(("accounts", name, "services"), account.services):
            if service not in defined_services:
                hint = nearest_hint(service, defined_services)
                yield view.document.finding(path, f"unknown service {service}", hint)


def check_units(view: ConfigurationView) -> Iterator[Finding]:
    """Yield a finding for each rate, price or time that is out of range."""
    for name, account in _accounts(view):
        path = ("accounts", name)
        yield from view.check_range(
            (*path, "requests_per_s"), account.requests_per_s, 0, MAX_RATE_PER_S
        )
        yield from view.check_range(
            (*path, "tokens_per_s"), account.tokens_per_s, 0, MAX_RATE_PER_S
        )
        yield from view.check_range((*path, "burst_s"), account.burst_s, 0, MAX_BURST_S)
    keep_s = view.configuration.explanation_keep_s
    yield from view.check_range(("explanation_keep_s",), keep_s, 0, MAX_EXPLANATION_RETENTION_S)
    for field in ("cross_region_per_gb", "recomputed_per_million_tokens"):
        price = getattr(view.configuration.prices, field)
        if view.is_decoded(("prices", field)) and not 0 <= price <= MAX_TRAFFIC_PRICE:
            message = f"must be between 0 and {MAX_TRAFFIC_PRICE:g}"
            yield view.document.finding(("prices", field), message)


CHECKS = (check_names, check_keys, check_services, check_units)
