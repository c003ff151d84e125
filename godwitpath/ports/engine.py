"""Port of the model engines: generation streams, load, cache events and orders."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class Address:
    """Listening address of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True)
class GenerationCall:
    """One attempt at a generation.

    :ivar request_id: identifier of the caller's request
    :ivar attempt_id: random identifier of this attempt, echoed in every chunk
    :ivar account: client account, for the engine's own accounting
    :ivar model: name of the model to run
    :ivar adapter: name of the adapter to apply, empty for none
    :ivar body: the caller's OpenAI-style body, without `stream`
    :ivar is_chat: whether the body is a request for a chat completion
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar timeout_s: time left until the caller's deadline
    :ivar delivered_text: text already delivered by earlier attempts; the engine continues after it
    :ivar delivered_tokens: number of tokens in the delivered text
    """

    request_id: str
    attempt_id: str
    account: str
    model: str
    body: dict[str, Any]
    is_chat: bool
    priority: int = 0
    timeout_s: float = 60.0
    adapter: str = ""
    delivered_text: str = ""
    delivered_tokens: int = 0


@dataclass(slots=True, frozen=True)
class GenerationChunk:
    """A part of a generation.

    :ivar attempt_id: the attempt that the chunk belongs to
    :ivar stream_id: the engine's identifier of the stream, for resume and cancel
    :ivar offset: number of generated tokens before this chunk, including those of earlier attempts
    :ivar text: the new text
    :ivar tokens: number of tokens in the text
    :ivar finish_reason: `stop` or `length` in the last chunk, empty before
    :ivar prompt_tokens: number of prompt tokens, set in the last chunk
    :ivar cached_tokens: number of cached prompt tokens, set in the first chunk
    """

    attempt_id: str
    stream_id: str
    offset: int
    text: str
    tokens: int
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load of an engine; may lag behind the actual load by seconds.

    :ivar running: number of sequences in the engine's batch
    :ivar waiting: number of sequences not yet in the batch
    :ivar waiting_tokens: number of prompt tokens still to prefill
    :ivar free_cache_tokens: number of free tokens in the prefix cache
    :ivar reported_at_s: time of the report on the engine's clock, in seconds
    """

    running: int
    waiting: int
    waiting_tokens: int
    free_cache_tokens: int
    reported_at_s: float


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change of an engine's prefix cache; sequence numbers may have gaps.

    :ivar sequence: sequence number assigned by the engine
    :ivar block: digest of the prefix block
    :ivar present: whether the block was added (True) or evicted (False)
    """

    sequence: int
    block: str
    present: bool


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Complete desired state of an engine; never a difference to an earlier order.

    :ivar fencing: fencing token of the duty's lease
    :ivar service: service that the engine belongs to
    :ivar model: model to load
    :ivar version: version of the model's weights
    :ivar adapters: adapters to load
    :ivar role: `unified`, `prefill` or `decode`
    """

    fencing: int
    service: str
    model: str
    version: str
    adapters: list[str] = field(default_factory=list)
    role: str = "unified"


@dataclass(slots=True, frozen=True)
class EngineStatus:
    """Actual state of an engine; see :class:`EngineOrder` for the other fields.

    :ivar incarnation: random identifier of this incarnation of the engine
    :ivar state: `loading`, `serving`, `leaving` or `failed`
    :ivar detail: reason for a failed load, empty otherwise
    """

    incarnation: str
    state: str
    service: str
    model: str
    version: str
    adapters: list[str]
    role: str
    fencing: int
    detail: str = ""


class EngineError(GodwitpathError):
    """Base of the errors of an engine."""


class EngineRefused(EngineError):
    """The engine was not reached or refused the call; it did not start the call.

    :ivar retry_after_s: delay before a retry as given by the engine, 0 when it gave none
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class EngineLost(EngineError):
    """The connection failed, timed out or sent malformed data after the call may have started."""


class StreamUnknown(EngineError):
    """The engine does not know the stream, or cannot replay it from the requested offset."""


class OrderFenced(EngineError):
    """The engine refused an order since it has received one with a newer fencing token."""


class Engine(ABC):
    """Interface to the model engines; one adapter serves all of them."""

    @abstractmethod
    def generate(self, address: Address, call: GenerationCall) -> AsyncIterator[GenerationChunk]:
        """Start a generation and yield its chunks.

        :raises EngineRefused: the engine did not start the generation
        :raises EngineLost: the stream failed or exceeded its idle timeout
        """

    @abstractmethod
    def resume(
        self, address: Address, stream_id: str, attempt_id: str, after_tokens: int
    ) -> AsyncIterator[GenerationChunk]:
        """Yield the chunks of a running or recently ended stream after a token offset.

        :raises StreamUnknown: the engine cannot replay the stream from this offset
        """

    @abstractmethod
    async def cancel(self, address: Address, stream_id: str) -> None:
        """Stop a generation; does nothing for an unknown stream."""

    @abstractmethod
    async def load(self, address: Address) -> LoadReport:
        """Return the load that the engine last reported."""

    @abstractmethod
    async def status(self, address: Address) -> EngineStatus:
        """Return the actual state of the engine."""

    @abstractmethod
    async def cache_events(self, address: Address, after_sequence: int) -> list[CacheEvent]:
        """Return the published cache events after a sequence number."""

    @abstractmethod
    async def export_cache(self, address: Address, stream_id: str) -> bytes:
        """Return the KV cache of a stream, in the engine's own format.

        :raises StreamUnknown: the engine does not hold the stream's KV cache
        """

    @abstractmethod
    async def import_cache(self, address: Address, cache: bytes) -> int:
        """Import an exported KV cache.

        :returns: number of imported tokens
        """

    @abstractmethod
    async def order(self, address: Address, order: EngineOrder) -> EngineStatus:
        """Order the engine to reach a desired state.

        :returns: actual state of the engine in its response
        :raises OrderFenced: the engine has received a newer fencing token
        :raises EngineRefused: the engine cannot carry out the order
        """
