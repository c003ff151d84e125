"""Submitting a configuration: one compare-and-swap decides which text becomes the next revision."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field
from datetime import UTC, datetime

from godwitpath.config.check import parse_configuration
from godwitpath.config.diff import Difference, diff_configurations
from godwitpath.config.envelope import (
    CURRENT_KEY,
    HISTORY_PREFIX,
    ConfigEnvelope,
    decode_envelope,
    encode_envelope,
    history_key,
    text_digest,
)
from godwitpath.errors import FindingsError, GodwitpathError
from godwitpath.ports.kv import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    RevisionConflict,
    StoreError,
    StoreRefused,
    StoreUncertain,
)

SETTLE_ATTEMPTS = 8
SETTLE_PAUSE_S = 0.25
HISTORY_PAGE = 50
SETTLED_REVISIONS = 2_500
"""A submission identifier given again is looked for among this many revisions."""

ANY_REVISION = -1
"""Base revision of a submission that builds on whatever is in force when it starts."""


@dataclass(slots=True)
class SubmitResult:
    """What became of a submission.

    :ivar envelope: the accepted configuration
    :ivar differences: what it changed
    :ivar unchanged: whether the text was already in force, so nothing was written
    """

    envelope: ConfigEnvelope
    differences: list[Difference] = field(default_factory=list)
    unchanged: bool = False


class ConfigConflict(GodwitpathError):
    """Another submission came first; nothing was written.

    :ivar current: the configuration in force
    :ivar differences: from the configuration in force to the one submitted
    """

    def __init__(self, current: ConfigEnvelope, differences: list[Difference]) -> None:
        self.current = current
        self.differences = differences
        lines = [
            f"conflict: revision {current.revision} came first"
            f" (by {current.author} at {current.submitted_at}: {current.reason})",
            "nothing was written; your text differs from it in:",
            *(f"  {difference}" for difference in differences),
        ]
        super().__init__("\n".join(lines))


class SubmissionUnknown(GodwitpathError):
    """The store's answer was lost and it cannot be read; the submission may have taken effect.

    :ivar submission_id: submit again with it to learn what happened
    """

    def __init__(self, submission_id: str) -> None:
        self.submission_id = submission_id
        super().__init__(
            "the store's answer was lost, so the submission may have taken effect;"
            f" submit the same text again with --submission-id {submission_id}"
        )


async def submit(
    store: KeyValueStore,
    text: str,
    author: str,
    reason: str,
    submission_id: str = "",
    base_revision: int = ANY_REVISION,
    source: str = "configuration",
) -> SubmitResult:
    """Make a text the configuration in force.

    :param submission_id: identifier of the submission; the same one never takes effect twice
    :param base_revision: revision that the text was written against
    :raises FindingsError: the text is wrong
    :raises ConfigConflict: another submission came first
    :raises SubmissionUnknown: it cannot be told whether the submission took effect
    :raises StoreRefused: the store is down; nothing was written
    """
    parse_configuration(source, text)
    stored = await store.get(CURRENT_KEY)
    current = decode_envelope(stored.value) if stored else None
    if submission_id and (earlier := await _accepted_earlier(store, submission_id, current)):
        return await _finish(store, earlier, await _previous(store, earlier))
    submission_id = submission_id or secrets.token_hex(16)
    if current is not None and base_revision not in (ANY_REVISION, current.revision):
        raise ConfigConflict(current, _differences(current, text))
    if current is not None and current.digest == text_digest(text):
        return SubmitResult(current, unchanged=True)
    envelope = _next_envelope(current, text, author, reason, submission_id)
    await _keep_history(store, current)
    try:
        await store.put(CURRENT_KEY, encode_envelope(envelope), _revision_of(stored))
    except RevisionConflict as error:
        await _raise_unless_own(store, error.current, envelope)
    except StoreUncertain:
        await _settle(store, stored, envelope)
    return await _finish(store, envelope, current)


async def current_envelope(store: KeyValueStore) -> ConfigEnvelope | None:
    """Return the configuration that the store holds, None when none was ever submitted."""
    stored = await store.get(CURRENT_KEY)
    return decode_envelope(stored.value) if stored else None


async def kept_envelope(store: KeyValueStore, revision: int) -> ConfigEnvelope | None:
    """Return an accepted configuration by its revision, None when there was none."""
    current = await current_envelope(store)
    if current is not None and current.revision == revision:
        return current
    kept = await store.get(history_key(revision))
    return decode_envelope(kept.value) if kept else None


async def history(store: KeyValueStore) -> list[ConfigEnvelope]:
    """Return every accepted configuration, the oldest first."""
    envelopes: list[ConfigEnvelope] = []
    after = ""
    while page := await store.scan(HISTORY_PREFIX, HISTORY_PAGE, after):
        envelopes += (decode_envelope(item.value) for item in page)
        after = page[-1].key
    current = await current_envelope(store)
    if current is not None and (not envelopes or envelopes[-1].revision < current.revision):
        envelopes.append(current)
    return envelopes


def _next_envelope(
    current: ConfigEnvelope | None, text: str, author: str, reason: str, submission_id: str
) -> ConfigEnvelope:
    return ConfigEnvelope(
        revision=current.revision + 1 if current else 1,
        text=text,
        digest=text_digest(text),
        author=author,
        submitted_at=datetime.now(UTC).isoformat(timespec="milliseconds"),
        reason=reason,
        submission_id=submission_id,
    )


def _revision_of(stored: KeyValue | None) -> int:
    return stored.revision if stored else ABSENT


async def _accepted_earlier(
    store: KeyValueStore, submission_id: str, current: ConfigEnvelope | None
) -> ConfigEnvelope | None:
    """Return the configuration that an earlier try of a submission made, None when it made none."""
    if current is None or current.submission_id == submission_id:
        return current
    after = history_key(max(0, current.revision - SETTLED_REVISIONS))
    while page := await store.scan(HISTORY_PREFIX, HISTORY_PAGE, after):
        for envelope in map(decode_envelope, (item.value for item in page)):
            if envelope.submission_id == submission_id:
                return envelope
        after = page[-1].key
    return None


async def _previous(store: KeyValueStore, envelope: ConfigEnvelope) -> ConfigEnvelope | None:
    kept = await store.get(history_key(envelope.revision - 1))
    return decode_envelope(kept.value) if kept else None


async def _keep_history(store: KeyValueStore, envelope: ConfigEnvelope | None) -> None:
    """Keep an accepted configuration; the next submitter does it for one who was cut off.

    :raises StoreRefused: it could not be kept; the write is the same each time, so that repeating
        it after a lost answer does no harm
    """
    if envelope is None:
        return
    for _ in range(SETTLE_ATTEMPTS):
        try:
            await store.put(history_key(envelope.revision), encode_envelope(envelope), ABSENT)
            return
        except RevisionConflict:
            return
        except StoreUncertain:
            await asyncio.sleep(SETTLE_PAUSE_S)
    raise StoreRefused("the store loses its answers; nothing was submitted")


async def _settle(store: KeyValueStore, stored: KeyValue | None, envelope: ConfigEnvelope) -> None:
    """Find out whether a write whose answer was lost took effect, and repeat it if not."""
    for _ in range(SETTLE_ATTEMPTS):
        await asyncio.sleep(SETTLE_PAUSE_S)
        try:
            current = await store.get(CURRENT_KEY)
            if _revision_of(current) != _revision_of(stored):
                return await _raise_unless_own(store, current, envelope)
            # The same write with the same expected revision can take effect only once.
            await store.put(CURRENT_KEY, encode_envelope(envelope), _revision_of(stored))
        except RevisionConflict as error:
            return await _raise_unless_own(store, error.current, envelope)
        except (StoreRefused, StoreUncertain):
            continue
        return None
    raise SubmissionUnknown(envelope.submission_id)


async def _raise_unless_own(
    store: KeyValueStore, winner: KeyValue | None, envelope: ConfigEnvelope
) -> None:
    """Return when the submission itself was accepted, and raise the conflict otherwise."""
    if winner is None:
        raise StoreRefused(f"{CURRENT_KEY} was deleted from the store; nothing was written")
    accepted = decode_envelope(winner.value)
    if accepted.submission_id == envelope.submission_id:
        return
    kept = await store.get(history_key(envelope.revision))
    if kept and decode_envelope(kept.value).submission_id == envelope.submission_id:
        return
    raise ConfigConflict(accepted, _differences(accepted, envelope.text))


def _differences(current: ConfigEnvelope | None, text: str) -> list[Difference]:
    try:
        new = parse_configuration("new", text)
        old = parse_configuration("old", current.text) if current else None
    except FindingsError:
        return []
    return diff_configurations(old, new) if old else []


async def _finish(
    store: KeyValueStore, envelope: ConfigEnvelope, previous: ConfigEnvelope | None
) -> SubmitResult:
    """Keep the accepted text in the history; a failure here is made good by the next submitter."""
    try:
        await _keep_history(store, envelope)
    except StoreError:
        pass
    return SubmitResult(envelope, _differences(previous, envelope.text))
