"""What is known of an entry daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from godwitpath.ports.engine import Address

MemberState = Literal["alive", "suspect", "leaving", "gone"]


@dataclass(slots=True)
class Member:
    """An entry daemon as its peers know it.

    :ivar entry_id: name of the entry
    :ivar address: where its peer socket listens
    :ivar public_key: Z85 form of its CURVE public key, empty without encryption
    :ivar incarnation: number that only the entry itself raises; the higher one wins
    :ivar state: `alive`, `suspect`, `leaving` (planned stop) or `gone`
    :ivar config_revision: highest configuration revision that it was heard to have in force
    """

    entry_id: str
    region: str
    availability_zone: str
    address: Address
    public_key: str = ""
    incarnation: int = 0
    state: MemberState = "alive"
    config_revision: int = 0

    @property
    def live(self) -> bool:
        """Whether the entry can be asked: alive or merely suspected."""
        return self.state in ("alive", "suspect")
