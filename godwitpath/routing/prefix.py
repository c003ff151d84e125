"""Digests of a prompt's leading blocks, so that equal beginnings are seen without the text."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import xxhash

BLOCK_CHARS = 1024
"""Characters in a block."""

MAX_BLOCKS = 64
"""Most blocks that are digested; what follows them does not steer routing."""

CHARS_PER_TOKEN = 4
"""Characters that a token stands for on average."""

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
"""Tokens in a block, as estimated."""


def prefix_blocks(
    text: str, block_chars: int = BLOCK_CHARS, max_blocks: int = MAX_BLOCKS
) -> list[str]:
    """Return the chained digests of the whole leading blocks of a text.

    Each digest covers its block and all blocks before it, so two texts share the first n digests
    exactly when they share the first n blocks.

    :param block_chars: characters in a block
    :param max_blocks: most blocks digested
    """
    digests: list[str] = []
    before = ""
    for start in range(0, min(len(text), block_chars * max_blocks), block_chars):
        block = text[start : start + block_chars]
        if len(block) < block_chars:
            break
        before = xxhash.xxh3_64_hexdigest((before + block).encode("utf-8", "surrogatepass"))
        digests.append(before)
    return digests


def prompt_text(body: dict[str, Any], chat: bool) -> str:
    """Return the text that the model will read, in its order.

    :param body: OpenAI-style body
    :param chat: whether the body is a chat completion
    """
    if not chat:
        prompt = body.get("prompt", "")
        parts = prompt if isinstance(prompt, list) else [prompt]
        return "\n".join(str(part) for part in parts)
    return "\n".join(_message_lines(body.get("messages", [])))


def estimate_tokens(text: str) -> int:
    """Return about how many tokens a text has, at least one."""
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
