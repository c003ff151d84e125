"""Bounds the bytes that a server holds for all its connections, and chooses which one to end.

The load is that of many callers that send large bodies or do not read their responses: each one
stays within its own limit, all of them together do not. The decision has no access to the network.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

from godwitpath.http1.response_limits import UNSHARED_BODY_BYTES

MAX_HELD_BYTES = 50_331_648
"""Maximum size of all that is held beyond :data:`UNSHARED_BODY_BYTES` for each connection."""


class HeldBytes:
    """Ends the connections for which bytes are held longest, so that the sum stays bounded.

    :ivar total_bytes: number of bytes that are held and counted
    """

    __slots__ = ("_held", "total_bytes")

    def __init__(self) -> None:
        self.total_bytes = 0
        # In the order in which the bytes of each owner began to be held.
        self._held: dict[Hashable, tuple[int, Callable[[int], None] | None]] = {}

    def hold(
        self, owner: Hashable, size_bytes: int, end: Callable[[int], None] | None = None
    ) -> None:
        """Change what is held for an owner.

        :param end: ends the owner, given the number of bytes; None if it may not be ended now
        """
        if size_bytes <= UNSHARED_BODY_BYTES:
            if self._held:
                self.release(owner)
            return
        self.total_bytes += size_bytes - self._held.get(owner, (0, None))[0]
        self._held[owner] = (size_bytes, end)
        while self.total_bytes > MAX_HELD_BYTES:
            ended = next((each for each, held in self._held.items() if held[1] is not None), None)
            if ended is None:
                return
            ended_bytes, end_owner = self._held[ended]
            self.release(ended)
            if end_owner is not None:
                end_owner(ended_bytes)

    def release(self, owner: Hashable) -> None:
        """Note that nothing is held for an owner any more."""
        self.total_bytes -= self._held.pop(owner, (0, None))[0]
