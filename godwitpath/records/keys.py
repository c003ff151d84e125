"""Claims on idempotency keys, arbitrated by the entry that ranks first for the key.

A claim saves tokens: the same generation asked for through three entries at once mostly runs once.
It is no guard for operations that must not run twice; :mod:`godwitpath.execution.guard` is.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.records.messages import ClaimKey, KeyClaimed, ReleaseKey

MAX_CLAIMS = 100_000


@dataclass(slots=True)
class _Claim:
    claimed: KeyClaimed
    until_s: float


class KeyClaims:
    """The claims known to this process, each for a bounded time."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._claims: dict[tuple[str, str], _Claim] = {}
        self._max_claims = max_claims

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, account: str, idempotency_key: str, now_s: float) -> KeyClaimed | None:
        """Return the claim that stands."""
        claim = self._claims.get((account, idempotency_key))
        return claim.claimed if claim is not None and claim.until_s > now_s else None

    def claim(self, wanted: ClaimKey, now_s: float, keep_s: float) -> KeyClaimed:
        """Return the claim that stands, which is the wanted one if there was none."""
        standing = self.get(wanted.account, wanted.idempotency_key, now_s)
        if standing is not None and wanted.replaces != standing.request_id:
            return standing
        claimed = KeyClaimed(wanted.body_digest, wanted.request_id, wanted.holder)
        self._put(wanted, claimed, now_s + keep_s)
        return claimed

    def release(self, released: ReleaseKey) -> None:
        """Forget a claim if it is the named one."""
        key = (released.account, released.idempotency_key)
        claim = self._claims.get(key)
        if claim is not None and claim.claimed.request_id == released.request_id:
            del self._claims[key]

    def expire(self, now_s: float) -> None:
        """Forget claims whose time is over."""
        over = [key for key, claim in self._claims.items() if claim.until_s <= now_s]
        for key in over:
            del self._claims[key]

    def _put(self, wanted: ClaimKey, claimed: KeyClaimed, until_s: float) -> None:
        if len(self._claims) >= self._max_claims:
            del self._claims[next(iter(self._claims))]
        self._claims[wanted.account, wanted.idempotency_key] = _Claim(claimed, until_s)
