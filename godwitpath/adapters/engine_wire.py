"""Message formats of the model engines: the OpenAI API with engine-specific extensions."""

from __future__ import annotations

from typing import Any

import msgspec

from godwitpath.ports.engine import CacheEvent

ATTEMPT_HEADER = "x-attempt-id"
REQUEST_HEADER = "x-request-id"


class CallExtension(msgspec.Struct, omit_defaults=True):
    """Member `engine` of the body of a generation call.

    :ivar attempt_id: identifier of the attempt, echoed in every event
    :ivar delivered_text: text already delivered; the engine continues after it
    :ivar delivered_tokens: number of tokens in the delivered text
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
    """Member `engine` of an event; see :class:`godwitpath.ports.engine.GenerationChunk`."""

    attempt_id: str
    offset: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Delta(msgspec.Struct, omit_defaults=True):
    """Text that an event adds to a chat completion."""

    content: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """The single choice of an event.

    :ivar delta: new text of a chat completion
    :ivar text: new text of a plain completion
    """

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
    """Response to a read of the cache events."""

    events: list[CacheEvent]


class CacheImportResult(msgspec.Struct):
    """Response to the import of a KV cache.

    :ivar tokens: number of imported tokens
    """

    tokens: int


class Refusal(msgspec.Struct):
    """Body of an error response."""

    error: str = ""


def generation_body(body: dict[str, Any], model: str, extension: CallExtension) -> bytes:
    """Return the JSON body of a streaming generation call."""
    return msgspec.json.encode({**body, "model": model, "stream": True, "engine": extension})
