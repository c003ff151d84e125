"""Moves the KV cache of a generation from an engine that goes to one that stays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from godwitpath.ports.engine import Address, Engine, EngineError
from godwitpath.recovery.move import CACHE_BYTES_PER_TOKEN

SIZE_WEIGHT = 0.2
"""Weight of one export in the learned size of a token's cache."""


@dataclass(slots=True)
class MoverCounters:
    """Counts since the start."""

    exported: int = 0
    failed: int = 0
    exported_bytes: int = 0
    billed_bytes: int = 0
    imported_tokens: int = 0


class CacheMover:
    """Exports and imports caches, and learns how large they are.

    :ivar bytes_per_token: learned size of an exported cache by token
    """

    __slots__ = ("_engine", "bytes_per_token", "counters")

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.bytes_per_token = float(CACHE_BYTES_PER_TOKEN)
        self.counters = MoverCounters()

    async def move(
        self, source: Address, target: Address, stream_id: str, tokens: int, billed: bool
    ) -> bool:
        """Move the cache of a stream; returns False when it could not be moved.

        :param tokens: tokens that the cache stands for
        :param billed: whether the bytes cross regions
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
        sample = len(cache) / max(1, tokens)
        self.bytes_per_token += SIZE_WEIGHT * (sample - self.bytes_per_token)
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        counters = {name: getattr(self.counters, name) for name in MoverCounters.__slots__}
        return {"bytes_per_token": round(self.bytes_per_token), "counters": counters}
