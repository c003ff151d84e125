"""Claims on idempotency keys, arbitrated by the entry that ranks first for the key.

A claim saves tokens: a generation requested through three entries at once usually runs only once.
It does not guarantee at-most-once execution; :mod:`godwitpath.execution.guard` does.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.records.messages import ClaimKey, KeyClaimed, ReleaseKey

MAX_CLAIMS = 100_000
"""Most claims kept by an entry; a further claim replaces the oldest one."""


@dataclass(slots=True)
class _Claim:
    claimed: KeyClaimed
    expires_at_s: float


class KeyClaims:
    """The claims on idempotency keys known to this process, each with an expiry time."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._claims: dict[tuple[str, str], _Claim] = {}
        self._max_claims = max_claims

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, account: str, idempotency_key: str, now_s: float) -> KeyClaimed | None:
        """Return the unexpired claim on a key."""
        claim = self._claims.get((account, idempotency_key))
        return claim.claimed if claim is not None and claim.expires_at_s > now_s else None

    def claim(self, request: ClaimKey, now_s: float, lifetime_s: float) -> KeyClaimed:
        """Grant the requested claim unless another request has the key; return the valid claim."""
        current = self.get(request.account, request.idempotency_key, now_s)
        if current is not None and request.replaces != current.request_id:
            return current
        claimed = KeyClaimed(request.body_digest, request.request_id, request.holder)
        self._put(request, claimed, now_s + lifetime_s)
        return claimed

    def release(self, released: ReleaseKey) -> None:
        """Remove the claim on a key if the named request still has the key."""
        key = (released.account, released.idempotency_key)
        claim = self._claims.get(key)
        if claim is not None and claim.claimed.request_id == released.request_id:
            del self._claims[key]

    def expire(self, now_s: float) -> None:
        """Remove expired claims."""
        expired = [key for key, claim in self._claims.items() if claim.expires_at_s <= now_s]
        for key in expired:
            del self._claims[key]

    def _put(self, request: ClaimKey, claimed: KeyClaimed, expires_at_s: float) -> None:
        if len(self._claims) >= self._max_claims:
            del self._claims[next(iter(self._claims))]
        self._claims[request.account, request.idempotency_key] = _Claim(claimed, expires_at_s)
