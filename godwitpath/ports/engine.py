"""Port of the model engines: generation streams, load, cache events and orders."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from godwitpath.errors import GodwitpathError


@dataclass(slots=True, frozen=True)
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True)
class GenerationCall:
    """One attempt at a generation.

    :ivar request_id: the caller's request
    :ivar attempt_id: random identifier of this attempt, echoed in every chunk
    :ivar account: client account, for the engine's own books
    :ivar model: name of the model to run
    :ivar adapter: adapter to apply, empty for none
    :ivar body: the caller's OpenAI-style body, without `stream`
    :ivar chat: whether the body is a chat completion
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar timeout_s: time left until the caller's deadline
    :ivar delivered_text: text already delivered by earlier attempts, continued from its end
    :ivar delivered_tokens: number of tokens in the delivered text
    """

    request_id: str
    attempt_id: str
    account: str
    model: str
    body: dict[str, Any]
    chat: bool
    priority: int = 0
    timeout_s: float = 60.0
    adapter: str = ""
    delivered_text: str = ""
    delivered_tokens: int = 0


@dataclass(slots=True, frozen=True)
class GenerationChunk:
    """A piece of a generation, or its end.

    :ivar attempt_id: the attempt that the chunk belongs to
    :ivar stream_id: the engine's handle, for resume and cancel
    :ivar offset: tokens of the whole answer before this chunk, earlier attempts included
    :ivar text: the new text
    :ivar tokens: number of tokens in the text
    :ivar finish_reason: `stop`, `length` or empty while the generation goes on
    :ivar prompt_tokens: tokens of the prompt, given in the last chunk
    :ivar cached_tokens: prompt tokens that the engine took from its cache, given in the first
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
    """Load as the engine last reported it; may lag by seconds.

    :ivar running: sequences in the batch
    :ivar waiting: sequences not yet in the batch
    :ivar waiting_tokens: prompt tokens still to compute
    :ivar free_cache_tokens: room left in the prefix cache
    :ivar reported_at_s: engine's own clock at the report
    """

    running: int
    waiting: int
    waiting_tokens: int
    free_cache_tokens: int
    reported_at_s: float


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change of an engine's prefix cache; sequence numbers may have gaps.

    :ivar sequence: number of the event at the engine
    :ivar block: digest of the prefix block
    :ivar present: whether the block was added (True) or evicted (False)
    """

    sequence: int
    block: str
    present: bool


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """The written state that an engine is ordered to have; never a difference to an earlier one.

    :ivar fencing: fencing number of the duty's lease
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
    """What an engine really runs.

    :ivar incarnation: random identifier of this start of the engine
    :ivar state: `loading`, `serving`, `leaving` or `failed`
    :ivar detail: why a load failed, empty otherwise
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
    """The engine provably did not start the call.

    :ivar retry_after_s: the engine's own advice, 0 when it gave none
    """

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class EngineLost(EngineError):
    """The connection failed, went silent or brought garbage after the call may have started."""


class StreamUnknown(EngineError):
    """The engine does not know the stream, or cannot replay from the offset."""


class OrderFenced(EngineError):
    """The engine refused an order whose fencing number is older than one it has seen."""


class Engine(ABC):
    """What the system needs of every model engine; one adapter serves them all."""

    @abstractmethod
    def generate(self, address: Address, call: GenerationCall) -> AsyncIterator[GenerationChunk]:
        """Start a generation and yield its chunks.

        :raises EngineRefused: the engine did not start it
        :raises EngineLost: the stream broke or stayed silent past its liveness bound
        """

    @abstractmethod
    def resume(
        self, address: Address, stream_id: str, attempt_id: str, after_tokens: int
    ) -> AsyncIterator[GenerationChunk]:
        """Yield the chunks of a running or lately ended stream after a token offset.

        :raises StreamUnknown: the engine cannot replay from there
        """

    @abstractmethod
    async def cancel(self, address: Address, stream_id: str) -> None:
        """Stop a generation; unknown streams are no error."""

    @abstractmethod
    async def load(self, address: Address) -> LoadReport:
        """Return the load as last reported."""

    @abstractmethod
    async def status(self, address: Address) -> EngineStatus:
        """Return what the engine runs."""

    @abstractmethod
    async def cache_events(self, address: Address, after_sequence: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number that the engine has published."""

    @abstractmethod
    async def export_cache(self, address: Address, stream_id: str) -> bytes:
        """Return the KV cache of a stream, in the engine's own form.

        :raises StreamUnknown: the engine does not hold it
        """

    @abstractmethod
    async def import_cache(self, address: Address, cache: bytes) -> int:
        """Add an exported KV cache; returns the number of tokens taken in."""

    @abstractmethod
    async def order(self, address: Address, order: EngineOrder) -> EngineStatus:
        """Order the engine to have a state.

        :raises OrderFenced: a newer fencing number was seen
        :raises EngineRefused: the order cannot be followed
        """
