"""Hashes of a prompt's leading blocks, for comparing prefixes without their text."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import xxhash

BLOCK_CHARS = 1024
"""Number of characters in a prefix block."""

MAX_BLOCKS = 64
"""Most blocks of a prompt that are hashed; routing ignores the rest of the prompt."""

CHARS_PER_TOKEN = 4
"""Assumed average number of characters in a token."""

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
"""Estimated number of tokens in a prefix block."""


def prefix_blocks(
    text: str, block_chars: int = BLOCK_CHARS, max_blocks: int = MAX_BLOCKS
) -> list[str]:
    """Return the chained hashes of the complete leading blocks of a text.

    Each hash covers its block and all blocks before it, so two texts have the same first n
    hashes exactly when they have the same first n blocks.

    :param block_chars: number of characters in a block
    :param max_blocks: most blocks that are hashed
    """
    digests: list[str] = []
    previous = ""
    for start in range(0, min(len(text), block_chars * max_blocks), block_chars):
        block = text[start : start + block_chars]
        if len(block) < block_chars:
            break
        previous = xxhash.xxh3_64_hexdigest((previous + block).encode("utf-8", "surrogatepass"))
        digests.append(previous)
    return digests


def prompt_text(body: dict[str, Any], chat: bool) -> str:
    """Return the text of the prompt, in the order in which the model processes it.

    :param body: OpenAI-style request body
    :param chat: whether the body is a chat completion
    """
    if not chat:
        prompt = body.get("prompt", "")
        parts = prompt if isinstance(prompt, list) else [prompt]
        return "\n".join(str(part) for part in parts)
    return "\n".join(_message_lines(body.get("messages", [])))


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, at least one."""
    return max(1, -(-len(text) // CHARS_PER_TOKEN))


def _message_lines(messages: Any) -> Iterator[str]:
    if not isinstance(messages, list):
        return
    for message in messages:
        if not isinstance(message, dict):
            continue
        content = message.get("content", "")
        yield f"{message.get('role', '')}: {_content_text(content)}"


def _content_text(content: Any) -> str:
    if not isinstance(content, list):
        return str(content or "")
    return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
