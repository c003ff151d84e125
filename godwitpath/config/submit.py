"""Submits configurations; one compare-and-swap decides which text becomes the next revision."""

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

MAX_STORE_ATTEMPTS = 8
STORE_RETRY_PAUSE_S = 0.25
HISTORY_PAGE_SIZE = 50
SUBMISSION_SEARCH_REVISIONS = 2_500
"""Number of latest revisions among which a repeated submission identifier is searched."""

ANY_REVISION = -1
"""Base revision of a submission that may replace any configuration in force."""


@dataclass(slots=True)
class SubmitResult:
    """Result of an accepted submission.

    :ivar envelope: accepted configuration
    :ivar differences: differences from the previous configuration
    :ivar unchanged: whether the text was already in force, so that nothing was written
    """

    envelope: ConfigEnvelope
    differences: list[Difference] = field(default_factory=list)
    unchanged: bool = False


class ConfigConflict(GodwitpathError):
    """Another submission was accepted first; nothing was written.

    :ivar current: configuration in force
    :ivar differences: differences from the configuration in force to the submitted one
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
    """A response was lost and the store cannot be read; the submission may have taken effect.

    :ivar submission_id: identifier with which a repeated submission determines the outcome
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
    """Check a text and make it the configuration in force.

    :param text: configuration text
    :param author: operator who submits the text
    :param reason: reason for the change
    :param submission_id: identifier that makes the submission idempotent; empty for a random one
    :param base_revision: revision on which the text is based
    :param source: name of the text in findings, such as a file name
    :raises FindingsError: the text has findings
    :raises ConfigConflict: another submission was accepted first
    :raises SubmissionUnknown: it is unknown whether the submission took effect
    :raises StoreRefused: the store is unavailable; nothing was written
    """
    parse_configuration(source, text)
    stored = await store.get(CURRENT_KEY)
    current = decode_envelope(stored.value) if stored else None
    if submission_id and (earlier := await _find_submission(store, submission_id, current)):
        return await _record_acceptance(store, earlier, await _previous_envelope(store, earlier))
    submission_id = submission_id or secrets.token_hex(16)
    if current is not None and base_revision not in (ANY_REVISION, current.revision):
        raise ConfigConflict(current, _differences(current, text))
    if current is not None and current.digest == text_digest(text):
        return SubmitResult(current, unchanged=True)
    envelope = _next_envelope(current, text, author, reason, submission_id)
    await _write_history(store, current)
    try:
        await store.put(CURRENT_KEY, encode_envelope(envelope), _store_revision(stored))
    except RevisionConflict as error:
        await _raise_unless_accepted(store, error.current, envelope)
    except StoreUncertain:
        await _resolve_uncertain_write(store, stored, envelope)
    return await _record_acceptance(store, envelope, current)


async def current_envelope(store: KeyValueStore) -> ConfigEnvelope | None:
    """Return the configuration in force, None when the store has none."""
    stored = await store.get(CURRENT_KEY)
    return decode_envelope(stored.value) if stored else None


async def accepted_envelope(store: KeyValueStore, revision: int) -> ConfigEnvelope | None:
    """Return the accepted configuration with a revision, None when the store has none."""
    current = await current_envelope(store)
    if current is not None and current.revision == revision:
        return current
    archived = await store.get(history_key(revision))
    return decode_envelope(archived.value) if archived else None


async def history(store: KeyValueStore) -> list[ConfigEnvelope]:
    """Return all accepted configurations in ascending order of revision."""
    envelopes: list[ConfigEnvelope] = []
    last_key = ""
    while page := await store.scan(HISTORY_PREFIX, HISTORY_PAGE_SIZE, last_key):
        envelopes += (decode_envelope(item.value) for item in page)
        last_key = page[-1].key
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


def _store_revision(stored: KeyValue | None) -> int:
    """Return the store revision of a key, not to be confused with the configuration revision."""
    return stored.revision if stored else ABSENT


async def _find_submission(
    store: KeyValueStore, submission_id: str, current: ConfigEnvelope | None
) -> ConfigEnvelope | None:
    """Return the configuration that an earlier attempt with a submission identifier created.

    :returns: None when no earlier attempt was accepted
    """
    if current is None or current.submission_id == submission_id:
        return current
    last_key = history_key(max(0, current.revision - SUBMISSION_SEARCH_REVISIONS))
    while page := await store.scan(HISTORY_PREFIX, HISTORY_PAGE_SIZE, last_key):
        for envelope in map(decode_envelope, (item.value for item in page)):
            if envelope.submission_id == submission_id:
                return envelope
        last_key = page[-1].key
    return None


async def _previous_envelope(
    store: KeyValueStore, envelope: ConfigEnvelope
) -> ConfigEnvelope | None:
    """Return the configuration that an accepted configuration replaced, None if not stored."""
    previous = await store.get(history_key(envelope.revision - 1))
    return decode_envelope(previous.value) if previous else None


async def _write_history(store: KeyValueStore, envelope: ConfigEnvelope | None) -> None:
    """Write an accepted configuration to the history.

    Each submission also writes the configuration that it replaces, in case the submission of the
    replaced configuration was interrupted before the write. The write is idempotent, so it is
    repeated after a lost response.

    :raises StoreRefused: the configuration could not be written
    """
    if envelope is None:
        return
    for _ in range(MAX_STORE_ATTEMPTS):
        try:
            await store.put(history_key(envelope.revision), encode_envelope(envelope), ABSENT)
            return
        except RevisionConflict:
            return
        except StoreUncertain:
            await asyncio.sleep(STORE_RETRY_PAUSE_S)
    raise StoreRefused("the store's responses were lost repeatedly; nothing was submitted")


async def _resolve_uncertain_write(
    store: KeyValueStore, stored: KeyValue | None, envelope: ConfigEnvelope
) -> None:
    """Determine whether a write with a lost response took effect, and repeat it if not.

    :param stored: current configuration in the store before the write
    :param envelope: configuration of the write
    :raises ConfigConflict: another submission was accepted first
    :raises SubmissionUnknown: the outcome could not be determined
    """
    for _ in range(MAX_STORE_ATTEMPTS):
        await asyncio.sleep(STORE_RETRY_PAUSE_S)
        try:
            current = await store.get(CURRENT_KEY)
            if _store_revision(current) != _store_revision(stored):
                return await _raise_unless_accepted(store, current, envelope)
            # With the same expected revision, the repeated write takes effect at most once.
            await store.put(CURRENT_KEY, encode_envelope(envelope), _store_revision(stored))
        except RevisionConflict as error:
            return await _raise_unless_accepted(store, error.current, envelope)
        except (StoreRefused, StoreUncertain):
            continue
        return None
    raise SubmissionUnknown(envelope.submission_id)


async def _raise_unless_accepted(
    store: KeyValueStore, stored: KeyValue | None, envelope: ConfigEnvelope
) -> None:
    """Return if the submission itself was accepted.

    :param stored: current configuration in the store
    :param envelope: submitted configuration
    :raises ConfigConflict: another submission was accepted
    :raises StoreRefused: the store has no current configuration
    """
    if stored is None:
        raise StoreRefused(f"{CURRENT_KEY} was deleted from the store; nothing was written")
    accepted = decode_envelope(stored.value)
    if accepted.submission_id == envelope.submission_id:
        return
    archived = await store.get(history_key(envelope.revision))
    if archived and decode_envelope(archived.value).submission_id == envelope.submission_id:
        return
    raise ConfigConflict(accepted, _differences(accepted, envelope.text))


def _differences(current: ConfigEnvelope | None, text: str) -> list[Difference]:
    """Return the differences from a configuration to a text, empty if either has findings."""
    try:
        new = parse_configuration("new", text)
        old = parse_configuration("old", current.text) if current else None
    except FindingsError:
        return []
    return diff_configurations(old, new) if old else []


async def _record_acceptance(
    store: KeyValueStore, envelope: ConfigEnvelope, previous: ConfigEnvelope | None
) -> SubmitResult:
    """Write the accepted configuration to the history and return the result.

    A failed write is ignored, because the next submission repeats it.
    """
    try:
        await _write_history(store, envelope)
    except StoreError:
        pass
    return SubmitResult(envelope, _differences(previous, envelope.text))
