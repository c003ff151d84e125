"""Guards against configuration errors that are missed, repeated or reported at a wrong position."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.check import parse_configuration
from godwitpath.config.schema import configuration_schema, schema_text, settings_schema
from godwitpath.errors import Finding, FindingsError
from godwitpath.settings import load_settings

ROOT = Path(__file__).parent.parent
EXAMPLES = sorted(ROOT.glob("examples/*/configuration.json"))
VALID: dict[str, Any] = json.loads((ROOT / "examples/ramdin/configuration.json").read_text())


def findings_of(text: str) -> list[Finding]:
    with pytest.raises(FindingsError) as caught:
        parse_configuration("c.json", text)
    return caught.value.findings


def changed(pointer: str, value: Any) -> str:
    """Return the text of the valid configuration with the value at a pointer replaced."""
    copied = copy.deepcopy(VALID)
    *parents, last = [int(p) if p.isdigit() else p for p in pointer.split("/")[1:]]
    target: Any = copied
    for part in parents:
        target = target[part]
    target[last] = value
    return json.dumps(copied)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.parent.name)
def test_examples_have_no_findings(path: Path) -> None:
    assert parse_configuration(str(path), path.read_text()).services
    load_settings("entry.json", path.with_name("entry.json").read_text())


def test_committed_schemas_are_current() -> None:
    committed = ROOT / "godwitpath/config/schema.json"
    assert committed.read_text() == schema_text(configuration_schema())
    assert (ROOT / "godwitpath/settings.schema.json").read_text() == schema_text(settings_schema())


SINGLE_FINDINGS = [
    ("/services/planner-lm/depends_on", ["depot-dsk"], "/services/planner-lm/depends_on/0"),
    ("/services/planner-lm/request_timeout_s", -1, None),
    ("/services/planner-lm/request_timeout_s", 0, None),
    ("/services/planner-lm/keep_outcome_s", 1e12, None),
    ("/services/planner-lm/stream_idle_timeout_s", 61, None),
    ("/services/planner-lm/latency/first_token_s", 3600, None),
    ("/services/planner-lm/retry_ratio", 2, None),
    ("/services/planner-lm/retry_ratio", -0.1, None),
    ("/services/planner-lm/fleet/minimum", 9, None),
    ("/services/planner-lm/fleet/price_limit_per_h", 0, None),
    ("/services/planner-lm/model", None, "/services/planner-lm"),
    ("/services/planner-lm/model/name", " ", None),
    ("/services/planner-lm/model/adapters", ["a", "a"], "/services/planner-lm/model/adapters/1"),
    ("/services/planner-lm/kind", "generatoin", None),
    ("/services/planner-lm/max_body_bytes", 1.5, None),
    ("/services/planner-lm/operations", [], None),
    ("/services/depot-orders/fleet", {}, None),
    ("/services/depot-orders/operations/0/path", "bookings", None),
    ("/services/depot-orders/operations/0/method", "post", None),
    ("/services/depot-orders/operations/0/status_path", "/by-key", None),
    ("/services/depot-orders/operations/0/statuspath", "/{key}", None),
    ("/services/a~1b", {"kind": "plain"}, "/services/a~1b"),
    ("/accounts/hauliers/services/0", "planer-lm", None),
    ("/accounts/hauliers/keys", [], None),
    ("/accounts/hauliers/keys/0/salt", "xyz", None),
    ("/accounts/hauliers/keys/0/sha256", "0" * 63, None),
    ("/accounts/hauliers/requests_per_s", 0, None),
    ("/accounts/hauliers/priority", "urgent", None),
    ("/prices/cross_region_per_gb", -1, None),
    ("/explanation_keep_s", 0, None),
    ("/acounts", {}, None),
]


@pytest.mark.parametrize(("pointer", "value", "expected_pointer"), SINGLE_FINDINGS)
def test_each_error_yields_one_finding_at_its_position(
    pointer: str, value: Any, expected_pointer: str | None
) -> None:
    if "~1" in pointer:
        copied = copy.deepcopy(VALID)
        copied["services"]["a/b"] = value
        text = json.dumps(copied)
    else:
        text = changed(pointer, value)
    [finding] = findings_of(text)
    assert finding.pointer == (expected_pointer or pointer)
    assert finding.line == 1
    assert finding.column > 1


def test_similar_names_are_suggested() -> None:
    [finding] = findings_of(changed("/services/planner-lm/depends_on", ["depot-ordres"]))
    assert finding.hint == "did you mean depot-orders?"
    [finding] = findings_of(changed("/services/planner-lm/retry_ration", 0.1))
    assert finding.hint == "did you mean retry_ratio?"


def test_cycle_is_reported_once() -> None:
    copied = copy.deepcopy(VALID)
    copied["services"]["depot-orders"]["depends_on"] = ["planner-lm"]
    copied["services"]["planner-lm"]["depends_on"] = ["depot-desk"]
    [finding] = findings_of(json.dumps(copied))
    assert "planner-lm -> depot-desk -> depot-orders -> planner-lm" in finding.message


def test_items_after_an_invalid_item_keep_their_index() -> None:
    operations = [{"method": "POST"}, {"method": 3, "path": "/x"}, {"method": "GET", "path": "y"}]
    findings = findings_of(changed("/services/depot-orders/operations", operations))
    base = "/services/depot-orders/operations"
    pointers = {finding.pointer for finding in findings}
    assert pointers == {f"{base}/0/path", f"{base}/1/method", f"{base}/2/path"}


def test_invalid_value_neither_hides_nor_adds_other_findings() -> None:
    copied = copy.deepcopy(VALID)
    copied["services"]["planner-lm"]["request_timeout_s"] = "60"
    copied["services"]["planner-lm"]["stream_idle_timeout_s"] = 500.0
    copied["accounts"]["hauliers"]["burst_s"] = -2
    pointers = {finding.pointer for finding in findings_of(json.dumps(copied))}
    assert pointers == {"/services/planner-lm/request_timeout_s", "/accounts/hauliers/burst_s"}


def test_positions_are_lines_and_columns_of_the_text() -> None:
    text = '{\n  "services": {\n    "a": {"kind": "plain", "colour": 1}\n  }\n}\n'
    [finding] = findings_of(text)
    assert (finding.line, finding.column) == (3, 38)
    assert text.splitlines()[2][37:] == "1}"


def test_duplicate_name_is_a_finding() -> None:
    text = '{"services": {"a": {"kind": "plain"},\n "a": {"kind": "plain"}}}'
    [finding] = findings_of(text)
    assert (finding.pointer, finding.line, finding.column) == ("/services/a", 2, 2)


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "null", '{"services": NaN}', "[" * 100_000, '{"a": ' + "1" * 5000 + "}"],
    ids=["empty", "cut", "list", "null", "nan", "deep", "long-number"],
)
def test_malformed_texts_are_findings(text: str) -> None:
    assert findings_of(text)


def test_schema_field_is_not_a_finding() -> None:
    assert parse_configuration("c.json", json.dumps({"$schema": "schema.json", **VALID}))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
POINTERS = sorted({pointer for pointer, _, _ in SINGLE_FINDINGS if "~" not in pointer})


def taken_or_refused(parse: Callable[[str, str], Any], text: str) -> list[Finding]:
    """Return the findings on a text, none if it is accepted; any other error fails the test."""
    try:
        parse("c.json", text)
    except FindingsError as error:
        str(error).encode()
        return error.findings or [Finding("", "an error without findings")]
    return []


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.sampled_from(POINTERS), JSON_VALUES)
def test_any_value_anywhere_is_taken_or_a_finding(pointer: str, value: Any) -> None:
    findings = taken_or_refused(parse_configuration, changed(pointer, value))
    assert all(finding.line for finding in findings)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.text() | JSON_VALUES.map(json.dumps))
def test_any_text_is_taken_or_a_finding(text: str) -> None:
    assert taken_or_refused(load_settings, text)
    assert taken_or_refused(parse_configuration, text)
