"""API keys of the client accounts: generation, hashing and lookup."""

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
"""Length above which an API key is refused without being hashed."""

MAX_CACHED_KEYS = 1024
"""Maximum number of API keys in the cache of an :class:`AccountIndex`."""


def generate_key() -> str:
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


def salted_hash(key: str) -> ApiKey:
    """Return the salted hash of an API key, as the configuration stores it."""
    salt = make_salt()
    return ApiKey(salt=salt, sha256=hash_key(key, salt))


def verify(key: str, stored_key: ApiKey) -> bool:
    """Return whether an API key matches a stored hash; the comparison takes constant time."""
    return hmac.compare_digest(hash_key(key, stored_key.salt), stored_key.sha256)


class AccountIndex:
    """Lookup of the account of an API key in one configuration.

    The accounts of accepted keys are cached under a keyed digest with a random secret, so that a
    request costs one digest instead of one per key of the configuration.
    """

    __slots__ = ("_cache", "_keys", "_secret")

    def __init__(self, configuration: Configuration) -> None:
        self._keys = [
            (account_name, stored_key)
            for account_name, account in configuration.accounts.items()
            for stored_key in account.keys
        ]
        self._secret = secrets.token_bytes(SALT_BYTES)
        self._cache: OrderedDict[bytes, str] = OrderedDict()

    def account_for(self, api_key: str) -> str | None:
        """Return the name of the account that an API key belongs to, None for an unknown key."""
        if not api_key or len(api_key) > MAX_KEY_CHARS:
            return None
        encoded = api_key.encode("utf-8", "surrogatepass")
        digest = hashlib.blake2b(encoded, key=self._secret, digest_size=SALT_BYTES).digest()
        account = self._cache.get(digest)
        if account is None:
            account = self._find_account(api_key)
            if account is not None:
                self._cache_account(digest, account)
        return account

    def _find_account(self, api_key: str) -> str | None:
        """Compare a key with every stored key, so that the time does not reveal the match."""
        account_of_key: str | None = None
        for account, stored_key in self._keys:
            if verify(api_key, stored_key):
                account_of_key = account
        return account_of_key

    def _cache_account(self, digest: bytes, account: str) -> None:
        self._cache[digest] = account
        if len(self._cache) > MAX_CACHED_KEYS:
            self._cache.popitem(last=False)


def bearer_key(authorization: str) -> str:
    """Return the key in an `Authorization: Bearer KEY` header, empty without a usable key."""
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or len(key) > MAX_KEY_CHARS:
        return ""
    return key if key.isascii() and key.isprintable() and " " not in key else ""
