"""Guards against submissions that are lost, applied twice or missing from the history.

These failures come from concurrent operators, lost responses of the store and interrupted writes.
"""

from __future__ import annotations

import asyncio
import json

import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.envelope import (
    CURRENT_KEY,
    DamagedEnvelope,
    decode_envelope,
    encode_envelope,
    history_key,
)
from godwitpath.config.submit import (
    ConfigConflict,
    SubmissionUnknown,
    history,
    submit,
)
from godwitpath.errors import FindingsError
from godwitpath.ports.kv import StoreError, StoreRefused
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

pytestmark = pytest.mark.looptime


def text(timeout_s: float) -> str:
    service = {"kind": "plain", "request_timeout_s": timeout_s}
    return json.dumps({"services": {"a": service}})


async def test_accepted_texts_get_consecutive_revisions() -> None:
    store = FakeKeyValueStore()
    first = await submit(store, text(10), "ann", "first")
    second = await submit(store, text(20), "ben", "slower")
    assert (first.envelope.revision, second.envelope.revision) == (1, 2)
    assert [str(item) for item in second.differences] == [
        "~ /services/a/request_timeout_s: 10.0 -> 20.0"
    ]
    assert [item.reason for item in await history(store)] == ["first", "slower"]


async def test_resubmitting_the_current_text_writes_nothing() -> None:
    store = FakeKeyValueStore()
    await submit(store, text(10), "ann", "first")
    again = await submit(store, text(10), "ben", "again")
    assert again.unchanged
    assert again.envelope.author == "ann"


async def test_concurrent_submission_conflicts_and_shows_the_differences() -> None:
    core = loop_core()
    stores = [FakeKeyValueStore(core, latency_s=0.01) for _ in range(2)]
    await submit(stores[0], text(10), "ann", "first")
    results = await asyncio.gather(
        submit(stores[0], text(20), "ann", "slower"),
        submit(stores[1], text(5), "ben", "faster"),
        return_exceptions=True,
    )
    [conflict] = [item for item in results if isinstance(item, ConfigConflict)]
    assert conflict.current.revision == 2
    assert "/services/a/request_timeout_s" in str(conflict)
    assert len(await history(stores[0])) == 2


async def test_outdated_base_revision_is_a_conflict() -> None:
    store = FakeKeyValueStore()
    await submit(store, text(10), "ann", "first")
    await submit(store, text(20), "ann", "second", base_revision=1)
    with pytest.raises(ConfigConflict):
        await submit(store, text(30), "ben", "late", base_revision=1)


async def test_submission_id_resolves_a_lost_response() -> None:
    store = FakeKeyValueStore()
    # The first submission replaces no configuration, so its first write, whose response is lost, is
    # that of the configuration in force.
    store.lose_next_responses(1)
    result = await submit(store, text(20), "ann", "first", submission_id="s1")
    assert result.envelope.revision == 1
    assert [item.submission_id for item in await history(store)] == ["s1"]


async def test_history_writes_with_lost_responses_are_repeated() -> None:
    store = FakeKeyValueStore()
    await submit(store, text(10), "ann", "first")
    store.lose_next_responses(3)
    result = await submit(store, text(20), "ann", "second")
    assert result.envelope.revision == 2


async def test_delayed_write_takes_effect_once() -> None:
    store = FakeKeyValueStore()
    store.delay_effect_s = 0.4
    result = await submit(store, text(10), "ann", "first")
    store.delay_effect_s = 0.0
    await asyncio.sleep(5)
    assert [item.revision for item in await history(store)] == [1]
    assert result.envelope.revision == 1


async def test_unknown_outcome_is_reported_and_resolved_by_resubmission() -> None:
    store = FakeKeyValueStore()
    store.lose_next_responses(1)
    task = asyncio.create_task(submit(store, text(10), "ann", "first", submission_id="s1"))
    await asyncio.sleep(0.1)
    store.outage = True
    with pytest.raises(SubmissionUnknown, match="--submission-id s1"):
        await task
    store.outage = False
    await submit(store, text(20), "ben", "second")
    resubmitted = await submit(store, text(10), "ann", "first", submission_id="s1")
    assert resubmitted.envelope.revision == 1
    assert decode_envelope((await store.get(CURRENT_KEY)).value).revision == 2  # type: ignore[union-attr]


async def test_outage_and_invalid_text_write_nothing() -> None:
    store = FakeKeyValueStore()
    with pytest.raises(FindingsError):
        await submit(store, text(-1), "ann", "wrong")
    store.outage = True
    with pytest.raises(StoreRefused):
        await submit(store, text(1), "ann", "down")
    store.outage = False
    assert await store.get(CURRENT_KEY) is None


async def test_next_submission_completes_an_interrupted_history_write() -> None:
    store = FakeKeyValueStore()
    result = await submit(store, text(10), "ann", "first")
    archived = await store.get(history_key(1))
    assert archived is not None
    await store.delete(archived.key, archived.revision)
    assert [item.revision for item in await history(store)] == [1]
    await submit(store, text(20), "ben", "second")
    again = await store.get(history_key(1))
    assert again is not None
    assert again.value == encode_envelope(result.envelope)


ENVELOPE = st.fixed_dictionaries(
    {
        "revision": st.integers(),
        **{name: st.text(max_size=5) for name in ("text", "digest", "author", "submitted_at")},
        **{name: st.text(max_size=5) for name in ("reason", "submission_id")},
    }
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60) | ENVELOPE.map(json.dumps).map(str.encode))
def test_any_value_is_an_envelope_or_damaged(value: bytes) -> None:
    with pytest.raises(DamagedEnvelope):
        decode_envelope(value)


async def test_damaged_configuration_is_not_overwritten() -> None:
    store = FakeKeyValueStore()
    await store.put(CURRENT_KEY, b"\xff{", 0)
    with pytest.raises(DamagedEnvelope):
        await submit(store, text(10), "ann", "first")
    assert (await store.get(CURRENT_KEY)).value == b"\xff{"  # type: ignore[union-attr]


FAULTS = st.sampled_from(["none", "lose", "late", "outage", "cancel"])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), FAULTS, st.floats(0, 1)), max_size=12))
def test_no_submission_counts_twice_and_no_revision_goes_back(
    steps: list[tuple[int, str, float]],
) -> None:
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(_submissions_under_faults(steps))
    finally:
        loop.close()


async def _submissions_under_faults(steps: list[tuple[int, str, float]]) -> None:
    core = loop_core()
    stores = [FakeKeyValueStore(core, latency_s=0.01 * n) for n in range(3)]
    observed_revisions: list[int] = []
    tasks = []
    for number, (operator, fault, pause_s) in enumerate(steps):
        store = stores[operator]
        store.outage = fault == "outage"
        store.delay_effect_s = 0.7 if fault == "late" else 0.0
        if fault == "lose":
            store.lose_next_responses(2)
        submitted_text = text(number + 1)
        identifier = f"s{number}"
        tasks.append(
            asyncio.create_task(submit(store, submitted_text, f"o{operator}", "r", identifier))
        )
        await asyncio.sleep(pause_s)
        if fault == "cancel":
            tasks[-1].cancel()
        current = await FakeKeyValueStore(core).get(CURRENT_KEY)
        observed_revisions.append(decode_envelope(current.value).revision if current else 0)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    reader = FakeKeyValueStore(core)
    await asyncio.sleep(2)
    accepted = await history(reader)
    assert observed_revisions == sorted(observed_revisions)
    assert [item.revision for item in accepted] == list(range(1, len(accepted) + 1))
    identifiers = [item.submission_id for item in accepted]
    assert len(identifiers) == len(set(identifiers))
    for number, result in enumerate(results):
        if isinstance(result, ConfigConflict | StoreRefused):
            assert f"s{number}" not in identifiers
        elif isinstance(result, BaseException):
            assert isinstance(result, StoreError | SubmissionUnknown | asyncio.CancelledError)
        else:
            assert f"s{number}" in identifiers
