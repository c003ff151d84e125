"""Guards against calls sent to overloaded, failing or needlessly remote engines.

Also guards against engines that few or no entries poll for their load.
"""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.ports.engine import LoadReport
from godwitpath.routing.choose import NoUpstream, RouteQuery, choose
from godwitpath.routing.load_tracker import LoadTracker
from godwitpath.routing.outliers import MAX_EJECTED_FRACTION, OutlierState, ejected
from godwitpath.routing.prefix import prefix_blocks, prompt_text
from godwitpath.routing.subset import polling_entries, subset
from godwitpath.routing.views import EngineView

BLOCKS = prefix_blocks("dossier " * 2000)


def views(count: int = 5, region: str = "home") -> list[EngineView]:
    return [
        EngineView(f"{region}-{n}", region=region, price_per_h=2.0, first_seen_at_s=-100.0)
        for n in range(count)
    ]


def query(**changes: object) -> RouteQuery:
    base = RouteQuery("s", region="home", blocks=BLOCKS, affinity_block=0, prompt_tokens=4000)
    for name, value in changes.items():
        setattr(base, name, value)
    return base


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.text(max_size=200), st.text(max_size=100), st.text(max_size=100))
def test_prompts_share_digests_exactly_where_they_share_blocks(common: str, a: str, b: str) -> None:
    first, second = prefix_blocks(common + a, 10), prefix_blocks(common + b, 10)
    for n, (left, right) in enumerate(zip(first, second, strict=False)):
        same = (common + a)[: 10 * (n + 1)] == (common + b)[: 10 * (n + 1)]
        assert (left == right) == same


def test_prompt_text_of_chat_and_completion() -> None:
    parts = [{"type": "text", "text": "b"}]
    body = {"messages": [{"role": "system", "content": "a"}, {"role": "user", "content": parts}]}
    assert prompt_text(body, chat=True) == "system: a\nuser: b"
    assert prompt_text({"prompt": ["a", "b"]}, chat=False) == "a\nb"


def test_entries_choose_the_same_engine_without_coordination() -> None:
    first = choose(query(), views(), 0.0)
    assert choose(query(), list(reversed(views())), 0.0).upstream_id == first.upstream_id
    assert first.rank == 0


def test_loaded_engine_overflows_to_the_second_of_its_ranking() -> None:
    first = choose(query(), views(), 0.0)
    loaded = views()
    for view in loaded:
        if view.upstream_id == first.upstream_id:
            view.own_tokens = 200_000
    second = choose(query(), loaded, 0.0)
    assert second.upstream_id != first.upstream_id
    assert second.rank == 1


@pytest.mark.parametrize("full", [False, True])
def test_another_region_is_chosen_only_when_the_local_one_misses_the_target(full: bool) -> None:
    local, remote = views(2), views(2, "away")
    for view in local:
        view.own_tokens = 200_000 if full else 0
    for view in remote:
        view.price_per_h = 0.1
    choice = choose(query(), [*local, *remote], 0.0)
    assert choice.upstream_id.startswith("away" if full else "home")


def test_no_upstream_when_all_were_tried() -> None:
    tried = frozenset(view.upstream_id for view in views())
    with pytest.raises(NoUpstream):
        choose(query(excluded=tried), views(), 0.0)


def test_report_separates_own_load_from_that_of_other_entries() -> None:
    tracker = LoadTracker()
    call = tracker.started("home-0", 1000, 0.0)
    tracker.report("home-0", LoadReport(0, 2, 1500, 0, 0.0), 0.1)
    view = tracker.views(views(1), 0.1)[0]
    assert view.own_tokens == 1000
    assert 0 < view.other_tokens <= 500
    tracker.first_token(call, 0, 0.2)
    tracker.finished(call, 1.0, 10)
    assert tracker.views(views(1), 1.0)[0].own_running == 0


def test_common_template_is_skipped_for_prefix_affinity() -> None:
    tracker = LoadTracker()
    for n in range(60):
        tracker.started("home-0", 10, 0.0, blocks=["template", f"dossier-{n}"])
    assert tracker.affinity_block(["template", "dossier-new"]) == 1
    assert tracker.affinity_block(["template"]) == -1


def test_failing_engine_is_ejected_and_readmitted() -> None:
    tracker = LoadTracker()
    for _ in range(3):
        tracker.failed(tracker.started("home-0", 10, 0.0), 0.0)
    assert [view.ejected for view in tracker.views(views(), 1.0)] == [True, *[False] * 4]
    assert not any(view.ejected for view in tracker.views(views(), 100.0))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.integers(0, 9), max_size=60), st.integers(1, 10))
def test_ejection_stays_within_its_fraction(failures: list[int], engines: int) -> None:
    states = {str(n): OutlierState() for n in range(engines)}
    for n in failures:
        if str(n) in states:
            states[str(n)].failed(0.0)
    assert len(ejected(states, 1.0)) <= MAX_EJECTED_FRACTION * engines


def test_subsets_cover_every_engine_equally() -> None:
    entries = [f"entry-{n}" for n in range(34)]
    engines = [f"engine-{n}" for n in range(110)]
    subsets = {entry: subset(entry, entries, engines, 16) for entry in entries}
    polling_counts = Counter(engine for chosen in subsets.values() for engine in chosen)
    assert all(polling_counts[engine] >= 5 for engine in engines)
    assert all(len(chosen) >= 16 for chosen in subsets.values())
    assert max(map(len, subsets.values())) <= 48
    # The removal of an entry changes only the engines that were assigned to this entry.
    before = {engine: set(polling_entries(engine, entries, 5)) for engine in engines}
    after = {engine: set(polling_entries(engine, entries[1:], 5)) for engine in engines}
    moved = [engine for engine in engines if before[engine] != after[engine]]
    assert all("entry-0" in before[engine] for engine in moved)
