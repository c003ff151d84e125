"""Moves the KV cache of a generation from a reclaimed engine to another one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from godwitpath.ports.engine import Address, Engine, EngineError
from godwitpath.recovery.move import CACHE_BYTES_PER_TOKEN

LATEST_EXPORT_WEIGHT = 0.2
"""Weight of the latest export in the moving average of the cache size per token."""


@dataclass(slots=True)
class MoverCounters:
    """Numbers of moved KV caches, bytes and tokens since the start of the process.

    :ivar exported: number of moved caches
    :ivar failed: number of moves that failed
    :ivar exported_bytes: total size of the moved caches
    :ivar billed_bytes: total size of the moved caches that crossed regions
    :ivar imported_tokens: number of tokens in the caches that the target engines imported
    """

    exported: int = 0
    failed: int = 0
    exported_bytes: int = 0
    billed_bytes: int = 0
    imported_tokens: int = 0


class CacheMover:
    """Moves KV caches between engines and measures their size.

    :ivar bytes_per_token: moving average of the size of an exported cache per token
    :ivar counters: numbers of moved caches, bytes and tokens since the start of the process
    """

    __slots__ = ("_engine", "bytes_per_token", "counters")

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.bytes_per_token = float(CACHE_BYTES_PER_TOKEN)
        self.counters = MoverCounters()

    async def move(
        self, source: Address, target: Address, stream_id: str, tokens: int, billed: bool
    ) -> bool:
        """Move the KV cache of a stream.

        :param source: engine that runs the stream
        :param target: engine that imports the cache
        :param tokens: number of tokens that the cache covers
        :param billed: whether the cache crosses regions
        :returns: False when the export or the import failed
        """
        try:
            cache = await self._engine.export_cache(source, stream_id)
            imported = await self._engine.import_cache(target, cache)
        except EngineError:
            self.counters.failed += 1
            return False
        self.counters.exported += 1
        self.counters.exported_bytes += len(cache)
        self.counters.billed_bytes += len(cache) if billed else 0
        self.counters.imported_tokens += imported
        measured_bytes_per_token = len(cache) / max(1, tokens)
        self.bytes_per_token += LATEST_EXPORT_WEIGHT * (
            measured_bytes_per_token - self.bytes_per_token
        )
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        counters = {name: getattr(self.counters, name) for name in MoverCounters.__slots__}
        return {"bytes_per_token": round(self.bytes_per_token), "counters": counters}
