"""Decision records: what was known, what was chosen and what else was possible."""

from __future__ import annotations

from typing import Any

import msgspec


class DecisionRecord(msgspec.Struct, omit_defaults=True):
    """One decision about a subject.

    :ivar subject_id: request identifier, or `configuration/REVISION`
    :ivar account: client account that the subject belongs to, empty for none
    :ivar kind: `request`, `refusal`, `dispatch`, `outcome`, `configuration`, `stop`, `order`
    :ivar at: wall-clock time of the decision, in seconds since 1970
    :ivar chosen: what was decided, as a short phrase
    :ivar known: what was known when it was decided
    :ivar alternatives: what else was possible
    :ivar entry_id: entry that decided, filled in by the journal
    """

    subject_id: str
    account: str
    kind: str
    at: float
    chosen: str
    known: dict[str, Any] = {}
    alternatives: list[str] = []
    entry_id: str = ""


class Story(msgspec.Struct):
    """What is known of a subject.

    :ivar records: its decision records, the oldest first
    :ivar complete: whether everything that is kept could be read
    :ivar note: why it may not be complete, empty otherwise
    """

    subject_id: str
    records: list[DecisionRecord]
    complete: bool = True
    note: str = ""


CONFIGURATION_SUBJECT = "configuration/"
"""Prefix of the subject of a configuration change, followed by its revision."""
