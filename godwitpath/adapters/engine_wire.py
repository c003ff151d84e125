"""Messages of the model engines: the OpenAI form with the engines' own extensions."""

from __future__ import annotations

from typing import Any

import msgspec

from godwitpath.ports.engine import CacheEvent

ATTEMPT_HEADER = "x-attempt-id"
REQUEST_HEADER = "x-request-id"


class CallExtension(msgspec.Struct, omit_defaults=True):
    """Extension of a call under the member `engine` of its body.

    :ivar attempt_id: echoed in every event
    :ivar delivered_text: text to continue from
    :ivar delivered_tokens: tokens of that text
    """

    attempt_id: str
    request_id: str = ""
    account: str = ""
    priority: int = 0
    timeout_s: float = 60.0
    adapter: str = ""
    delivered_text: str = ""
    delivered_tokens: int = 0


class EventExtension(msgspec.Struct, omit_defaults=True):
    """Extension of an event under its member `engine`."""

    attempt_id: str
    offset: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Delta(msgspec.Struct, omit_defaults=True):
    """New text of a chat completion."""

    content: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """The only choice of an event; `text` is for plain completions."""

    index: int = 0
    delta: Delta | None = None
    text: str = ""
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct):
    """One server-sent event of a generation."""

    id: str
    choices: list[Choice]
    engine: EventExtension


class CacheEvents(msgspec.Struct):
    """Cache events as published."""

    events: list[CacheEvent]


class Imported(msgspec.Struct):
    """Outcome of the import of a KV cache."""

    tokens: int


class Refusal(msgspec.Struct):
    """Body of a refusal."""

    error: str = ""


def call_body(body: dict[str, Any], model: str, extension: CallExtension) -> bytes:
    """Return the body of a generation call."""
    return msgspec.json.encode({**body, "model": model, "stream": True, "engine": extension})
