"""Decoded header fields of requests and responses, independent of their names on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.ports.engine import Address


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; requests with the same leading parts share cached tokens."""

    part_id: str
    tokens: int


@dataclass(slots=True)
class CallerFields:
    """Fields that a caller states in its request.

    :ivar request_id: id of the request; a retry by the caller has a different id
    :ivar deadline_s: time that the caller waits for the response, None if not stated
    :ivar has_token_counts: whether the request states its numbers of prompt and output tokens
    :ivar max_output_tokens: maximum number of tokens to generate
    :ivar expected_output_tokens: the caller's estimate of the number of generated tokens, 0 if not
        stated
    :ivar prompt_parts: parts of the prompt in order; the last part belongs to this request only
    :ivar last_event_id: last event received from a broken stream that this request resumes
    """

    request_id: bytes = b""
    api_key: bytes = b""
    deadline_s: float | None = None
    has_token_counts: bool = False
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None


@dataclass(slots=True, frozen=True)
class KvCacheSource:
    """KV cache of a stopped run, held by the engine that ran it.

    :ivar address: address of that engine
    :ivar handle: identifies the KV cache at that engine
    """

    address: Address
    handle: str


@dataclass(slots=True)
class SendFields:
    """Fields that the gateway adds to a request when it sends it to an engine.

    :ivar engine_id: the only engine that may run the request
    :ivar time_left_s: time after which the engine stops working on the request
    :ivar priority: priority at the engine, 0 first; None for the engine's default
    :ivar last_event_id: event after which the stream resumes; None to start at the beginning or
        after the event that the caller states
    :ivar kv_cache: KV cache from which a moved run continues, None for a new run
    """

    engine_id: str
    time_left_s: float
    account: str = ""
    priority: int | None = None
    last_event_id: int | None = None
    kv_cache: KvCacheSource | None = None


@dataclass(slots=True, frozen=True)
class EngineResponseFields:
    """What the head of an engine's response states about the run of the request.

    :ivar matches_request: whether the response names no other request than the one that was sent
    :ivar not_run: whether the engine states that it did not run the request
    :ivar wrong_engine: whether a different engine listens at the address
    :ivar from_engine: whether the head was written by an engine, so that a success may be passed on
    :ivar retry_after_s: time after which the engine may be tried again, None if not stated
    :ivar leaving: whether the engine states that it leaves
    :ivar unreadable_notice: field and value of a notice of the engine that cannot be read, empty if
        there is none
    :ivar limit_per_s: requests a second that the engine takes from all daemons together, None if
        the response states no limit
    :ivar unreadable_limit: stated limit that is not a decimal number, empty if there is none
    :ivar names_request: whether the response names the request that was sent
    """

    matches_request: bool
    not_run: bool
    wrong_engine: bool
    from_engine: bool
    retry_after_s: float | None
    limit_per_s: float | None = None
    unreadable_limit: str = ""
    leaving: bool = False
    unreadable_notice: str = ""
    names_request: bool = False
