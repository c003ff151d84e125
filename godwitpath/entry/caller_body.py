"""Parses the bodies of generation requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from godwitpath.entry.refusals import CallerError

DEFAULT_MAX_TOKENS = 256
"""Output token limit of a body that sets none."""

MAX_TOKENS_LIMIT = 32_768
"""Largest output token limit that a request may set."""


@dataclass(slots=True)
class GenerationRequest:
    """A parsed generation request.

    :ivar service: name of the service, taken from the body's `model`
    :ivar chat: whether the request is for a chat completion
    :ivar streamed: whether the response is streamed
    :ivar include_usage: whether a stream ends with a chunk of token counts
    :ivar max_tokens: maximum number of tokens to generate
    :ivar body: the decoded body
    """

    service: str
    chat: bool
    streamed: bool
    include_usage: bool
    max_tokens: int
    body: dict[str, Any]


def parse_generation(raw: bytes, chat: bool) -> GenerationRequest:
    """Decode the body of a generation request.

    :param raw: body as received
    :param chat: whether the request was sent to the chat path
    :raises CallerError: the body is not a valid request of the OpenAI API
    """
    body = _decode_object(raw)
    service = _typed_member(body, "model", str, "")
    if not service:
        raise CallerError("malformed_request", "`model` must name a service")
    _check_prompt(body, chat)
    if _typed_member(body, "n", int, 1) != 1:
        raise CallerError("malformed_request", "`n` must be 1")
    options = body.get("stream_options") or {}
    if not isinstance(options, dict):
        raise CallerError("malformed_request", "`stream_options` must be an object")
    return GenerationRequest(
        service=service,
        chat=chat,
        streamed=_typed_member(body, "stream", bool, False),
        include_usage=bool(options.get("include_usage", False)),
        max_tokens=max_tokens_of(body),
        body=body,
    )


def _decode_object(raw: bytes) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CallerError("malformed_request", f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise CallerError("malformed_request", "the body must be a JSON object")
    return body


def _typed_member(body: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = body.get(name)
    if value is None:
        return default
    # In Python a bool is an int, but JSON has separate types.
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise CallerError("malformed_request", f"`{name}` must be of type {kind.__name__}")
    return value


def max_tokens_of(body: dict[str, Any]) -> int:
    """Return the maximum number of tokens to generate for a body.

    :raises CallerError: the limit is not an integer in the allowed range
    """
    max_completion_tokens = _typed_member(body, "max_completion_tokens", int, 0)
    tokens: int = max_completion_tokens or _typed_member(
        body, "max_tokens", int, DEFAULT_MAX_TOKENS
    )
    if not 1 <= tokens <= MAX_TOKENS_LIMIT:
        raise CallerError("malformed_request", f"`max_tokens` must be 1 to {MAX_TOKENS_LIMIT}")
    return tokens


def _check_prompt(body: dict[str, Any], chat: bool) -> None:
    if not chat:
        if not isinstance(body.get("prompt"), str):
            raise CallerError("malformed_request", "`prompt` must be a string")
        return
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerError("malformed_request", "`messages` must be a list that is not empty")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise CallerError("malformed_request", f"`messages[{index}]` must have a `role`")
        if not isinstance(message.get("content"), str | list):
            raise CallerError("malformed_request", f"`messages[{index}]` must have `content`")
