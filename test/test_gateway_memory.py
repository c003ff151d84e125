"""Guards against a daemon that keeps the memory of large bodies after it has freed them."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import resource
from pathlib import Path
from godwitpath.gateway.memory import return_large_blocks

def resident_bytes():
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()

return_large_blocks()
before = resident_bytes()
bodies, small = [b"x" * 30_000_000], []
bodies.clear()
for _ in range(20):
    bodies.append(b"x" * 8_000_000)
    small.append([bytes(2_000) for _ in range(100)])
kept = resident_bytes() - before
bodies.clear()
print(kept, resident_bytes() - before)
"""


def test_the_memory_of_large_bodies_is_given_back() -> None:
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True, timeout=30.0
    )
    kept_bytes, after_bytes = map(int, result.stdout.split())
    assert kept_bytes > 150_000_000
    assert after_bytes < 20_000_000
