"""What header fields say, whatever their names on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.ports.engine import Address


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; requests with the same leading parts share their cached tokens."""

    part_id: str
    tokens: int


@dataclass(slots=True)
class CallerFields:
    """What a caller says of its request.

    :ivar request_id: names the request; a caller's own retry has another one
    :ivar deadline_s: time that the caller will wait, None when not said
    :ivar states_tokens: whether the numbers of tokens were given
    :ivar max_output_tokens: most tokens to be generated
    :ivar expected_output_tokens: the caller's guess of them, 0 without one
    :ivar prompt_parts: the prompt in its order; the last part is the request's own
    :ivar last_event_id: event of a broken stream to go on after
    """

    request_id: bytes = b""
    api_key: bytes = b""
    deadline_s: float | None = None
    states_tokens: bool = False
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None


@dataclass(slots=True, frozen=True)
class MemorySource:
    """Memory of a run that was stopped, at the engine that ran it."""

    address: Address
    handle: str


@dataclass(slots=True)
class SendFields:
    """What the system says with one send to an engine.

    :ivar engine_id: the only engine that may run it
    :ivar time_left_s: time after which the engine stops work
    :ivar priority: rank at the engine, 0 first; None for the engine's default
    :ivar last_event_id: event after which a stream goes on, None from its start or as the caller
        said
    :ivar memory: memory of the same run to go on from
    """

    engine_id: str
    time_left_s: float
    account: str = ""
    priority: int | None = None
    last_event_id: int | None = None
    memory: MemorySource | None = None


@dataclass(slots=True, frozen=True)
class EngineVerdict:
    """What a response head says of the run.

    :ivar belongs: whether it answers the request that was sent
    :ivar not_run: whether the engine states that it did not run the request
    :ivar wrong_engine: whether another engine has the address
    :ivar genuine: whether the head is an engine's own, fit to be passed on as a success
    """

    belongs: bool
    not_run: bool
    wrong_engine: bool
    genuine: bool
    retry_after_s: float | None
