"""API keys: recognised, bounded, kept out of dumps; CURVE pairs."""

from __future__ import annotations

from dataclasses import asdict

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.model import Account, ApiKey, Configuration
from godwitpath.security import keys
from godwitpath.security.curve import make_pair, public_key_of
from godwitpath.security.redact import REDACTED, redact


def configuration(**accounts: list[ApiKey]) -> Configuration:
    return Configuration({}, {name: Account(kept) for name, kept in accounts.items()})


def test_old_and_new_key_of_an_account_are_accepted_side_by_side() -> None:
    old, new = keys.make_key(), keys.make_key()
    index = keys.AccountIndex(configuration(ann=[keys.salted(old), keys.salted(new)], ben=[]))
    assert [index.account_for(key) for key in (old, new, old)] == ["ann", "ann", "ann"]


def test_other_keys_belong_to_nobody() -> None:
    key = keys.make_key()
    index = keys.AccountIndex(configuration(ann=[keys.salted(key)]))
    for wrong in ("", key[:-1], key + "x", key.upper(), "\ud800", "x" * 10_000):
        assert index.account_for(wrong) is None


def test_remembered_keys_are_bounded_and_belong_to_one_configuration() -> None:
    names = [f"key-{number}" for number in range(keys.CACHED_KEYS + 10)]
    index = keys.AccountIndex(configuration(ann=[ApiKey("00", keys.hash_key(names[0], "00"))]))
    for name in names:
        index.account_for(name)
    assert len(index._cache) <= keys.CACHED_KEYS
    assert index.account_for(names[0]) == "ann"
    assert keys.AccountIndex(configuration(ann=[])).account_for(names[0]) is None


def test_the_configuration_does_not_tell_the_key() -> None:
    key = keys.make_key()
    kept = keys.salted(key)
    assert key not in str(asdict(kept))
    assert kept != keys.salted(key)
    assert keys.verify(key, kept)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=400) | st.text(max_size=300).map(lambda text: f"Bearer {text}"))
def test_any_header_gives_a_plain_key_or_none(header: str) -> None:
    key = keys.bearer_key(header)
    assert len(key) <= keys.MAX_KEY_CHARS
    assert key == "" or (key.isascii() and key.isprintable())


def test_bearer_header() -> None:
    assert keys.bearer_key("bearer  gp_x ") == "gp_x"
    assert keys.bearer_key("Basic gp_x") == ""
    assert keys.bearer_key("Bearer a b") == ""


def test_curve_pair_belongs_together() -> None:
    pair = make_pair()
    assert public_key_of(pair.secret_key) == pair.public_key
    assert pair != make_pair()


def test_secrets_are_redacted_at_any_depth() -> None:
    dump = {"peer": [{"secret_key": "s", "public_key": "p"}], "operator": {"key": ""}, "Key": b"x"}
    assert redact(dump) == {
        "peer": [{"secret_key": REDACTED, "public_key": "p"}],
        "operator": {"key": ""},
        "Key": REDACTED,
    }
