"""API keys of the client accounts: made, hashed and recognised."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections import OrderedDict

from godwitpath.config.model import ApiKey, Configuration

KEY_PREFIX = "gp_"
KEY_BYTES = 32
SALT_BYTES = 16
MAX_KEY_CHARS = 256
"""Longer API keys are refused without looking at them."""

CACHED_KEYS = 1024
"""Most API keys whose account an index remembers."""


def make_key() -> str:
    """Return a new random API key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def make_salt() -> str:
    """Return a new random salt."""
    return secrets.token_hex(SALT_BYTES)


def hash_key(key: str, salt: str) -> str:
    """Return the hexadecimal SHA-256 of a salt and an API key.

    The keys are random and long, so a fast hash is enough.
    """
    return hashlib.sha256(f"{salt}:{key}".encode("utf-8", "surrogatepass")).hexdigest()


def salted(key: str) -> ApiKey:
    """Return what the configuration keeps of an API key."""
    salt = make_salt()
    return ApiKey(salt=salt, sha256=hash_key(key, salt))


def verify(key: str, kept: ApiKey) -> bool:
    """Return whether an API key is the one kept, in a time that does not tell how close it is."""
    return hmac.compare_digest(hash_key(key, kept.salt), kept.sha256)


class AccountIndex:
    """Finds the account of an API key for one configuration.

    Accepted keys are remembered by a digest under a secret of this process, so that a request
    costs one digest and not one for each key of the configuration.
    """

    __slots__ = ("_cache", "_keys", "_secret")

    def __init__(self, configuration: Configuration) -> None:
        self._keys = [
            (account_name, kept)
            for account_name, account in configuration.accounts.items()
            for kept in account.keys
        ]
        self._secret = secrets.token_bytes(SALT_BYTES)
        self._cache: OrderedDict[bytes, str] = OrderedDict()

    def account_for(self, api_key: str) -> str | None:
        """Return the name of the account that a key belongs to, None for an unknown key."""
        if not api_key or len(api_key) > MAX_KEY_CHARS:
            return None
        encoded = api_key.encode("utf-8", "surrogatepass")
        digest = hashlib.blake2b(encoded, key=self._secret, digest_size=SALT_BYTES).digest()
        account = self._cache.get(digest)
        if account is None:
            account = self._search(api_key)
            if account is not None:
                self._remember(digest, account)
        return account

    def _search(self, api_key: str) -> str | None:
        """Compare with every kept key, so that the time does not tell which one fits."""
        found: str | None = None
        for account, kept in self._keys:
            if verify(api_key, kept):
                found = account
        return found

    def _remember(self, digest: bytes, account: str) -> None:
        self._cache[digest] = account
        if len(self._cache) > CACHED_KEYS:
            self._cache.popitem(last=False)


def bearer_key(authorization: str) -> str:
    """Return the key of an `Authorization: Bearer KEY` header, empty when there is none."""
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or len(key) > MAX_KEY_CHARS:
        return ""
    return key if key.isascii() and key.isprintable() and " " not in key else ""
