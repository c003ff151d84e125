"""Deterministic completions.

The text is a function of the request, so a response delivered to the wrong request is detected.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
DEFAULT_TOKENS = 32


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a request body as one string."""
    messages = body.get("messages")
    if messages is None:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(map(str, prompt))
    return "".join(f"{message.get('role', '')}: {_message_text(message)}\n" for message in messages)


def prompt_tokens(text: str) -> int:
    """Return the number of tokens in a prompt."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def request_digest(body: dict[str, Any], model: str = "") -> str:
    """Return the digest that the completion of a request starts with.

    :param model: model that runs the request; empty for the model named in the body
    """
    name = model or body.get("model", "")
    return xxhash.xxh3_64_hexdigest(f"{name}\n{prompt_text(body)}".encode())


def completion_tokens(body: dict[str, Any]) -> int:
    """Return the number of tokens in the complete response to a request."""
    limit = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_TOKENS
    return max(1, int(limit))


def text_between(digest: str, first: int, end: int) -> str:
    """Return the text of the tokens from index `first` up to, but not including, `end`."""
    return "".join(_tokens(digest, first, end))


def expected_text(body: dict[str, Any], tokens: int | None = None, model: str = "") -> str:
    """Return the text of a correct response to a request.

    :param tokens: number of tokens; None for the complete response
    :param model: model that runs the request; empty for the model named in the body
    """
    count = completion_tokens(body) if tokens is None else tokens
    return text_between(request_digest(body, model), 0, count)


@lru_cache(maxsize=65_536)
def _token(digest: str, index: int) -> str:
    # The first token is the request digest; each later token depends on the digest and its index.
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
