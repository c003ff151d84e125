"""API keys: lookup, bounds and redaction; CURVE key pairs."""

from __future__ import annotations

from dataclasses import asdict

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.model import Account, ApiKey, Configuration
from godwitpath.security import keys
from godwitpath.security.curve import generate_key_pair, public_key_of
from godwitpath.security.redact import REDACTED, redact


def configuration(**accounts: list[ApiKey]) -> Configuration:
    return Configuration({}, {name: Account(stored_keys) for name, stored_keys in accounts.items()})


def test_old_and_new_key_of_an_account_are_both_accepted() -> None:
    """Guards against refusing callers with the old key during a key rotation."""
    old, new = keys.generate_key(), keys.generate_key()
    index = keys.AccountIndex(
        configuration(ann=[keys.salted_hash(old), keys.salted_hash(new)], ben=[])
    )
    assert [index.account_for(key) for key in (old, new, old)] == ["ann", "ann", "ann"]


def test_unknown_keys_have_no_account() -> None:
    """Guards against accepting a truncated, extended, malformed or oversized key, or raising."""
    key = keys.generate_key()
    index = keys.AccountIndex(configuration(ann=[keys.salted_hash(key)]))
    for wrong in ("", key[:-1], key + "x", key.upper(), "\ud800", "x" * 10_000):
        assert index.account_for(wrong) is None


def test_cached_keys_are_bounded_and_belong_to_one_configuration() -> None:
    """Guards against a cache that grows with every key, or accepts a key removed since."""
    names = [f"key-{number}" for number in range(keys.MAX_CACHED_KEYS + 10)]
    index = keys.AccountIndex(configuration(ann=[ApiKey("00", keys.hash_key(names[0], "00"))]))
    for name in names:
        index.account_for(name)
    assert len(index._cache) <= keys.MAX_CACHED_KEYS
    assert index.account_for(names[0]) == "ann"
    assert keys.AccountIndex(configuration(ann=[])).account_for(names[0]) is None


def test_stored_key_does_not_contain_the_key() -> None:
    """Guards against a plain API key in the configuration, and equal hashes for equal keys."""
    key = keys.generate_key()
    stored_key = keys.salted_hash(key)
    assert key not in str(asdict(stored_key))
    assert stored_key != keys.salted_hash(key)
    assert keys.verify(key, stored_key)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=400) | st.text(max_size=300).map(lambda text: f"Bearer {text}"))
def test_any_header_gives_a_printable_ascii_key_or_none(header: str) -> None:
    """Guards against a header with control characters or an oversized value taken as a key."""
    key = keys.bearer_key(header)
    assert len(key) <= keys.MAX_KEY_CHARS
    assert key == "" or (key.isascii() and key.isprintable())


def test_bearer_header() -> None:
    """Guards against refusing a valid key for its spacing, and accepting another scheme."""
    assert keys.bearer_key("bearer  gp_x ") == "gp_x"
    assert keys.bearer_key("Basic gp_x") == ""
    assert keys.bearer_key("Bearer a b") == ""


def test_curve_pair_has_matching_keys() -> None:
    """Guards against a public key that does not match its secret key, and against equal pairs."""
    pair = generate_key_pair()
    assert public_key_of(pair.secret_key) == pair.public_key
    assert pair != generate_key_pair()


def test_secrets_are_redacted_at_any_depth() -> None:
    """Guards against a secret shown in a dump from a nested object or under a capitalised name."""
    dump = {"peer": [{"secret_key": "s", "public_key": "p"}], "operator": {"key": ""}, "Key": b"x"}
    assert redact(dump) == {
        "peer": [{"secret_key": REDACTED, "public_key": "p"}],
        "operator": {"key": ""},
        "Key": REDACTED,
    }
