"""Decision records of configuration changes, built from the configuration history in the store."""

from __future__ import annotations

from datetime import datetime

from godwitpath.config.check import parse_configuration
from godwitpath.config.diff import diff_configurations
from godwitpath.config.envelope import ConfigEnvelope
from godwitpath.config.submit import accepted_envelope
from godwitpath.errors import FindingsError
from godwitpath.explain.record import CONFIGURATION_SUBJECT, DecisionRecord
from godwitpath.ports.kv import KeyValueStore

MAX_DIFFERENCES = 50
"""Most differences between two configurations that a record lists."""


async def configuration_records(store: KeyValueStore, subject_id: str) -> list[DecisionRecord]:
    """Return the record of a configuration change, or an empty list for another kind of subject.

    :raises StoreRefused: the store cannot be read
    """
    revision_text = subject_id.removeprefix(CONFIGURATION_SUBJECT)
    if revision_text == subject_id or not revision_text.isdecimal() or len(revision_text) > 10:
        return []
    envelope = await accepted_envelope(store, int(revision_text))
    if envelope is None:
        return []
    previous = (
        await accepted_envelope(store, envelope.revision - 1) if envelope.revision > 1 else None
    )
    return [_record(subject_id, envelope, previous)]


def _record(
    subject_id: str, envelope: ConfigEnvelope, previous: ConfigEnvelope | None
) -> DecisionRecord:
    known = {
        "author": envelope.author,
        "reason": envelope.reason,
        "digest": envelope.digest,
        "submission_id": envelope.submission_id,
        "previous_revision": previous.revision if previous else 0,
    }
    for position, difference in enumerate(_differences(previous, envelope)[:MAX_DIFFERENCES], 1):
        known[f"difference {position}"] = difference
    submitted_at_s = datetime.fromisoformat(envelope.submitted_at).timestamp()
    chosen = f"accepted as revision {envelope.revision}"
    return DecisionRecord(
        subject_id, "", "configuration", submitted_at_s, chosen, known, [], "store"
    )


def _differences(previous: ConfigEnvelope | None, envelope: ConfigEnvelope) -> list[str]:
    if previous is None:
        return []
    try:
        old = parse_configuration("previous", previous.text)
        new = parse_configuration("accepted", envelope.text)
    except FindingsError:
        return ["a text of another version of the program, not compared"]
    return [str(difference) for difference in diff_configurations(old, new)]
