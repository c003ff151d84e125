"""Random choice of long prompts: of many parts, or of parts with long ids.

Long prompts have random sources of their own, so that they change nothing about the faults and the
other requests of a seed.
"""

from __future__ import annotations

import random

MAX_PROMPT_BYTES = 15_000
"""Longest value of the field of parts; with it a head stays within the 16,384 bytes that the
configuration of the soak allows."""

MAX_PARTS = 1_000
"""Largest number of shared parts."""

LONG_SHARE = 0.5
"""Share of the prompts that are long."""

DOCUMENTS = 40
"""Number of documents that the prompts begin with; prompts share as much of one as they hold."""

LONG_IDS_SHARE = 0.25
"""Share of the documents that have few parts with long ids."""

LONG_ID_BYTES = 1_200


def draw_document(rng: random.Random) -> list[str]:
    """Return the parts of a document, each with its number of tokens."""
    long_ids = rng.random() < LONG_IDS_SHARE
    id_bytes = LONG_ID_BYTES if long_ids else rng.randint(4, 11)
    parts = min(MAX_PARTS, MAX_PROMPT_BYTES // (id_bytes + len(":9,")))
    return [
        f"{rng.getrandbits(4 * id_bytes):0{id_bytes}x}:{rng.randint(1, 9)}" for _ in range(parts)
    ]


class LongPrompts:
    """The long prompts of one caller.

    :param seed: seed of the soak, which decides the documents of all its callers
    :param name: name of the caller
    """

    def __init__(self, seed: int, name: str) -> None:
        documents = random.Random(f"{seed} documents")
        self._documents = [draw_document(documents) for _ in range(DOCUMENTS)]
        self._rng = random.Random(f"{seed} long prompts of {name}")

    def draw(self) -> list[str]:
        """Return the first parts of the next prompt, none for a short one."""
        if self._rng.random() >= LONG_SHARE:
            return []
        document = self._rng.choice(self._documents)
        return document[: self._rng.choice([len(document), self._rng.randint(1, len(document))])]


def tokens(parts: list[str]) -> int:
    """Return the number of tokens of some parts."""
    return sum(int(part.rpartition(":")[2]) for part in parts)
