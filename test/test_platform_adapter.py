"""The adapter to the users' platform: settings, configuration, entries, headers, the store."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.errors import FindingsError
from godwitpath.gateway.calls import PromptPart, SendFields
from godwitpath.gateway.engines import EngineState
from godwitpath.gateway.model import RequestKind
from godwitpath.gateway.store import HistoryLost, Precondition, Put, TxnConflict
from godwitpath.http1.messages import ResponseHead
from godwitpath.platform.configuration import ConfigurationUnreadable, decode_configuration
from godwitpath.platform.engines import decode_entry
from godwitpath.platform.headers import (
    decode_caller,
    engine_headers,
    read_verdict,
    refusal_headers,
)
from godwitpath.platform.settings import decode_settings
from godwitpath.platform.store import PlatformStore
from godwitpath.ports.kv import LeaseLapsed, StoreRefused, StoreUncertain
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


class TestSettings:
    def test_what_the_platform_writes_is_read(self) -> None:
        settings = decode_settings(json.dumps(settings_document()).encode())
        assert settings.name == "edge-a-1"
        assert settings.bounds.lease_s == 3.0
        assert settings.bounds.fencing_checked
        assert settings.cloud_address is None
        assert settings.region_of("c") == "far"

    def test_the_form_that_the_platform_writes_without_a_template_is_read(self) -> None:
        document = settings_document()
        text = msgspec.yaml.encode(document)
        assert not text.startswith(b"{")
        assert decode_settings(text) == decode_settings(json.dumps(document).encode())
        with pytest.raises(FindingsError, match="/zone"):
            decode_settings(msgspec.yaml.encode(settings_document(zone=7)))

    def test_three_mistakes_are_reported_together_with_their_places(self) -> None:
        document = settings_document(zone=7, bounds={"graceS": "eight"})
        document["platform"] = {"address": "nowhere"}
        with pytest.raises(FindingsError) as caught:
            decode_settings(json.dumps(document).encode(), "settings.json")
        places = {finding.pointer for finding in caught.value.findings}
        assert places == {"/zone", "/bounds", "/platform/address"}

    def test_what_is_missing_is_named(self) -> None:
        with pytest.raises(FindingsError, match="nodeName"):
            decode_settings(b"{}")

    @pytest.mark.parametrize("text", [b"", b"[]", b"{", b"\xff", b"a: [", b"- a\n"])
    def test_what_is_no_object_is_a_finding(self, text: bytes) -> None:
        with pytest.raises(FindingsError):
            decode_settings(text)


class TestConfiguration:
    def test_what_the_operator_writes_is_read(self) -> None:
        text = json.dumps(configuration_document()).encode()
        configuration = decode_configuration(text, 41)
        assert (configuration.version, configuration.revision) == (7, 41)
        read = configuration.routes[0]
        assert read.kind is RequestKind.IDEMPOTENT
        assert read.timeout_s == 3.0
        assert read.repeatable
        assert not configuration.routes[2].repeatable
        assert configuration.routes[3].repeatable
        assert configuration.accounts[0].keys == ("key-of-hule",)

    def test_weights_replace_the_service(self) -> None:
        document = configuration_document()
        document["routes"][0]["weightedServices"] = [
            {"service": "desk", "weight": 90},
            {"service": "lm", "weight": 10},
        ]
        configuration = decode_configuration(json.dumps(document).encode(), 1)
        assert configuration.routes[0].services == (("desk", 90), ("lm", 10))

    def test_a_kind_that_is_not_known_may_not_be_repeated(self) -> None:
        document = configuration_document()
        document["routes"][0]["kind"] = "something-new"
        configuration = decode_configuration(json.dumps(document).encode(), 1)
        assert not configuration.routes[0].repeatable

    @given(JSON_VALUES)
    def test_anything_else_is_unreadable_and_nothing_worse(self, value: object) -> None:
        try:
            decode_configuration(json.dumps(value).encode(), 1)
        except ConfigurationUnreadable:
            return


class TestEntries:
    def test_an_engine_is_read(self) -> None:
        engine = EngineStandin("i-1")
        value = engine.entry("lm", state="draining", spot=True, leaves_ms=2500)
        entry = decode_entry("servers/i-1", value)
        assert entry is not None
        assert entry.state is EngineState.DRAINING
        assert entry.reclaimable
        assert entry.leaves_in_s == 2.5

    @pytest.mark.parametrize(
        "change",
        [
            {"service": None},
            {"address": "nowhere"},
            {"address": 5},
            {"state": "dancing"},
            {"slots": "many"},
            {"zone": None},
            {"born": 1.5},
            {"spot": "yes"},
        ],
    )
    def test_a_damaged_entry_names_no_engine(self, change: dict[str, object]) -> None:
        sound = json.loads(EngineStandin("i-1").entry("lm"))
        assert decode_entry("servers/i-1", json.dumps(sound).encode()) is not None
        assert decode_entry("servers/i-1", json.dumps(sound | change).encode()) is None

    @given(st.binary())
    def test_any_bytes_are_an_entry_or_none(self, value: bytes) -> None:
        decode_entry("servers/x", value)


class TestHeaders:
    def test_a_caller_is_read(self) -> None:
        fields = decode_caller(
            [
                (b"x-attempt-id", b"9c"),
                (b"x-deadline-ms", b"6000"),
                (b"x-token-count", b"1460,80"),
                (b"x-prompt-prefix", b"5c:800,91:410,e4:250"),
                (b"api-key", b"k"),
                (b"last-event-id", b"4"),
            ]
        )
        assert fields.deadline_s == 6.0
        assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
        assert fields.prompt_parts[1] == PromptPart("91", 410)
        assert fields.last_event_id == 4

    @pytest.mark.parametrize("value", [b"", b"x", b"-5", b"nan", b"inf", b"1e99"])
    def test_a_number_that_is_none_counts_as_absent(self, value: bytes) -> None:
        assert decode_caller([(b"x-deadline-ms", value)]).deadline_s is None

    def test_what_only_the_system_sets_is_not_taken_from_a_caller(self) -> None:
        own = [b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"kv-fetch", b"x-tenant"]
        headers = [(name, b"caller") for name in own] + [(b"x-free", b"1")]
        sent = engine_headers(headers, SendFields("i-1", 1.5, "hule", 1, None))
        assert [value for _, value in sent if value == b"caller"] == []
        assert (b"x-deadline-ms", b"1500") in sent
        assert (b"x-tenant", b"hule") in sent
        assert (b"x-free", b"1") in sent

    def test_a_stream_that_goes_on_names_its_last_event_once(self) -> None:
        sent = engine_headers([(b"last-event-id", b"1")], SendFields("i", 1.0, last_event_id=7))
        assert [value for name, value in sent if name == b"last-event-id"] == [b"7"]
        kept = engine_headers([(b"last-event-id", b"1")], SendFields("i", 1.0))
        assert (b"last-event-id", b"1") in kept

    def test_only_an_engine_says_that_it_has_not_run(self) -> None:
        assert not read_verdict(ResponseHead(503, b""), b"r").not_run
        assert read_verdict(ResponseHead(503, b"", [(b"x-not-executed", b"1")]), b"r").not_run
        assert read_verdict(ResponseHead(421, b""), b"r").not_run
        assert not read_verdict(ResponseHead(200, b"", [(b"x-not-executed", b"1")]), b"r").not_run

    def test_retry_after_may_be_a_fraction(self) -> None:
        assert (b"retry-after", b"0.250") in refusal_headers(b"r", 0.25)


@pytest.fixture
async def served() -> AsyncIterator[tuple[StoreServer, PlatformStore]]:
    server = StoreServer(StoreCore())
    store = PlatformStore(await server.start())
    yield server, store
    store.close()
    await server.stop()


Served = tuple[StoreServer, PlatformStore]


class TestStore:
    async def test_items_pages_and_changes(self, served: Served) -> None:
        server, store = served
        for number in range(120):
            server.core.put(f"p/{number:03d}", b"%d" % number)
        listing = await store.list_items("p/")
        assert [item.value for item in listing.items] == [b"%d" % n for n in range(120)]
        assert await store.get("p/absent") is None
        server.core.put("p/005", b"new")
        server.core.remove("p/006")
        changes, revision = await store.changes("p/", listing.revision, 0.5)
        assert [(change.key, change.item is None) for change in changes] == [
            ("p/005", False),
            ("p/006", True),
        ]
        assert (await store.changes("p/", revision, 0.2)) == ([], revision)

    async def test_history_that_is_gone_is_said(self, served: Served) -> None:
        server, store = served
        server.core.put("p/1", b"")
        server.core.forget_history()
        with pytest.raises(HistoryLost):
            await store.changes("p/", 0, 0.2)

    async def test_writes_hold_their_conditions(self, served: Served) -> None:
        _, store = served
        revision = await store.transact([Precondition("k", 0)], [Put("k", b"\x00\xff")])
        with pytest.raises(TxnConflict) as caught:
            await store.transact([Precondition("k", 0)], [Put("k", b"2")])
        assert caught.value.current[0].value == b"\x00\xff"
        assert await store.transact([Precondition("k", revision)], [], ["k"]) > revision
        assert await store.get("k") is None

    async def test_leases_end_with_their_keys(self, served: Served) -> None:
        _, store = served
        lease = await store.grant(2.0)
        await store.transact([], [Put("k", b"", lease)])
        await store.renew(lease)
        await store.end_lease(lease)
        assert await store.get("k") is None
        with pytest.raises(LeaseLapsed):
            await store.renew(lease)
        with pytest.raises(LeaseLapsed):
            await store.transact([], [Put("k", b"", lease)])

    @pytest.mark.parametrize("status", [429, 503])
    async def test_a_refused_call_has_done_nothing(self, served: Served, status: int) -> None:
        server, store = served
        server.refuse_with = status
        with pytest.raises(StoreRefused):
            await store.transact([], [Put("k", b"")])

    async def test_a_call_without_an_answer_may_have_been_done(self, served: Served) -> None:
        server, store = served
        server.mute = True
        with pytest.raises(StoreUncertain):
            await store.transact([], [Put("k", b"")])
        with pytest.raises(StoreRefused):
            await store.get("k")

    async def test_nobody_listening_has_done_nothing(self, served: Served) -> None:
        server, store = served
        await server.stop()
        with pytest.raises(StoreRefused):
            await store.transact([], [Put("k", b"")])
