"""Returns the memory of large blocks, such as bodies, to the system once they are freed."""

from __future__ import annotations

import ctypes

from godwitpath.telemetry.decisions import decision

LARGE_BLOCK_BYTES = 262_144
"""Size from which a block is a mapping of its own."""

M_MMAP_THRESHOLD = -3
"""Number of the parameter of `mallopt`, from `malloc.h`."""


def return_large_blocks() -> None:
    """Have the C library map each large block by itself.

    By default it raises that size up to 32 MB as such blocks are freed. Later ones then lie in the
    heap, which keeps its size for as long as anything lies above them.
    """
    try:
        accepted = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    except (OSError, AttributeError) as error:
        decision("allocator_unchanged", reason=str(error))
        return
    if not accepted:
        decision("allocator_unchanged", reason="mallopt refused the parameter")
