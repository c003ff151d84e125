"""Joins the pieces of verdicts that have too many subjects for one report."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from godwitpath.gateway.fingerprint import subjects_digest
from godwitpath.gateway.quarantine_report import ReportedVerdict, VerdictPiece

MAX_JOINED = 64
"""Number of verdicts whose pieces are kept."""

MAX_JOINED_SUBJECTS = 16_384
"""Number of subjects that a verdict in pieces may have."""

KEPT_S = 60.0
"""Time after the last piece for which the others are kept."""


@dataclass(slots=True)
class _Joined:
    at_s: float
    subjects: set[str] = field(default_factory=set)


class VerdictPieces:
    """Pieces of verdicts by the digest of all their subjects."""

    __slots__ = ("_joined",)

    def __init__(self) -> None:
        self._joined: OrderedDict[str, _Joined] = OrderedDict()

    def join(self, pieces: Iterable[VerdictPiece], now_s: float) -> Iterator[ReportedVerdict]:
        """Add pieces, and yield each verdict that is whole with one of them."""
        for piece in pieces:
            joined = self._joined.setdefault(piece.digest, _Joined(now_s))
            self._joined.move_to_end(piece.digest)
            joined.at_s = now_s
            joined.subjects.update(piece.verdict.subjects)
            if len(joined.subjects) > min(piece.total, MAX_JOINED_SUBJECTS):
                del self._joined[piece.digest]
            elif len(joined.subjects) == piece.total:
                del self._joined[piece.digest]
                if subjects_digest(joined.subjects) == piece.digest:
                    yield msgspec.structs.replace(
                        piece.verdict, subjects=tuple(sorted(joined.subjects))
                    )
        while self._joined:
            digest, oldest = next(iter(self._joined.items()))
            if len(self._joined) <= MAX_JOINED and now_s - oldest.at_s < KEPT_S:
                return
            del self._joined[digest]
