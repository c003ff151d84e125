"""An entry daemon as a member: address, state and incarnation.

The incarnation of a member is a number that only the member itself increases.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from godwitpath.ports.engine import Address

MemberState = Literal["alive", "suspect", "leaving", "gone"]


@dataclass(slots=True)
class Member:
    """Describes an entry daemon to its peers.

    :ivar entry_id: name of the entry
    :ivar address: address on which the entry's peer socket listens
    :ivar public_key: Z85 form of the entry's CURVE public key, empty without encryption
    :ivar incarnation: number that only the entry itself increases; the higher incarnation wins
    :ivar state: `alive`, `suspect`, `leaving` (planned stop) or `gone`
    :ivar config_revision: configuration revision in force at the entry, from its last ping or ack
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
        """Whether requests may be sent to the entry: it is alive or only suspected."""
        return self.state in ("alive", "suspect")
