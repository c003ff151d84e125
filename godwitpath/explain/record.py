"""Decision records and the trace of a subject that they make up.

The subject is the request or configuration change that a decision is about.
"""

from __future__ import annotations

from typing import Any

import msgspec


class DecisionRecord(msgspec.Struct, omit_defaults=True):
    """One decision about a subject, with its inputs and the alternatives that were rejected.

    :ivar subject_id: request identifier, or `configuration/REVISION`
    :ivar account: client account that owns the subject, empty for none
    :ivar kind: `request`, `refusal`, `dispatch`, `outcome`, `configuration`, `stop`, `order`
    :ivar at: wall-clock time of the decision, in seconds since 1970
    :ivar chosen: the decision, as a short phrase
    :ivar known: inputs of the decision, by name
    :ivar alternatives: options that were possible but not chosen
    :ivar entry_id: identifier of the entry that made the decision, set by the journal
    """

    subject_id: str
    account: str
    kind: str
    at: float
    chosen: str
    known: dict[str, Any] = {}
    alternatives: list[str] = []
    entry_id: str = ""


class DecisionTrace(msgspec.Struct):
    """All decisions about a subject that could be found.

    :ivar subject_id: request identifier, or `configuration/REVISION`
    :ivar records: decision records of the subject, the oldest first
    :ivar complete: whether every stored record could be read
    :ivar note: why records may be missing, empty if `complete`
    """

    subject_id: str
    records: list[DecisionRecord]
    complete: bool = True
    note: str = ""


CONFIGURATION_SUBJECT = "configuration/"
"""Prefix of the subject identifier of a configuration change; the revision follows it."""
