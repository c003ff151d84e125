"""Deterministic answers: the text is a function of the request, so that any mix-up is seen."""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
DEFAULT_TOKENS = 32


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a body as one text."""
    messages = body.get("messages")
    if messages is None:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(map(str, prompt))
    return "".join(f"{item.get('role', '')}: {_message_text(item)}\n" for item in messages)


def prompt_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def request_digest(body: dict[str, Any], model: str = "") -> str:
    """Return the digest that the answer to a body carries.

    :param model: model that runs it, the body's own when empty
    """
    name = model or body.get("model", "")
    return xxhash.xxh3_64_hexdigest(f"{name}\n{prompt_text(body)}".encode())


def completion_tokens(body: dict[str, Any]) -> int:
    """Return the number of tokens of the whole answer."""
    limit = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_TOKENS
    return max(1, int(limit))


def text_between(digest: str, first: int, end: int) -> str:
    """Return the text of the tokens from `first` up to `end`."""
    return "".join(_tokens(digest, first, end))


def expected_text(body: dict[str, Any], tokens: int | None = None, model: str = "") -> str:
    """Return the text that a right answer to a body has.

    :param tokens: number of tokens, the whole answer when None
    :param model: model that runs it, the body's own when empty
    """
    count = completion_tokens(body) if tokens is None else tokens
    return text_between(request_digest(body, model), 0, count)


@lru_cache(maxsize=65_536)
def _token(digest: str, index: int) -> str:
    # The first token names the request; every other depends on the request and its place.
    if index == 0:
        return digest
    return " " + xxhash.xxh3_64_hexdigest(f"{digest}/{index}".encode())[:5]


def _tokens(digest: str, first: int, end: int) -> Iterator[str]:
    return (_token(digest, index) for index in range(first, end))


def _message_text(message: dict[str, Any]) -> str:
    content = message.get("content", "")
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return str(content)
