"""Invariants that a soak checks on its history.

Each check reads the whole history, so that it also finds a violation by a late run or response. The
bounds are those of the settings of the deployment.
"""

from __future__ import annotations

import re
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby, islice

from godwitpath_standin.gateway.cloud import DutyCall, UsageReport
from godwitpath_standin.gateway.crash_rule import CONTACT_S, TOLERATED_SENDS, late_sends
from godwitpath_standin.gateway.engine import Arrival, CrashSubject
from godwitpath_standin.gateway.limit_rule import WINDOW_S, LimitedArrival, exceeded_windows
from godwitpath_standin.soak.history import History, SentRequest, Violation

CONFIGURATION_APPLY_S = 2.5
"""Longest time until a written configuration is in force."""

DRAIN_S = 2.5
"""Longest time for which an engine gets requests after its drain was announced."""

TIMEOUT_MARGIN_S = 0.5
"""Maximum time from the timeout of a request to its final response."""

RETRY_RATIO = 0.2
"""Number of retries that a window allows per request, as the users specify."""

RETRY_SLACK = 56
"""Number of retries by all daemons that a window allows beyond the ratio, as the users specify."""

RETRY_WINDOW_S = 10.0
"""Length of the window in which retries are counted."""

LEASE_S = 3.0
"""Time within which no duty holder may act again after another one has acted."""

MAX_MEMORY_MB = 300.0
"""Largest resident memory of a daemon, as the users specify."""

MAX_LOOP_HOLD_S = 0.05
"""Longest time for which a daemon's own work may hold its event loop, as the users specify."""

LIMIT_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?")
"""A limit that an engine states in the form that the users specify."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""HTTP statuses that guarantee that a request has not run and will not run."""

Check = Callable[[History], Iterator[Violation]]


def at_most_once(history: History) -> Iterator[Violation]:
    """Check that a non-idempotent request runs at most once."""
    for request_id, runs in history.runs_by_request().items():
        sent = history.sent.get(request_id)
        if sent is not None and sent.non_idempotent and len(runs) > 1:
            yield Violation("at most once", f"{request_id} ran {len(runs)} times")


def refused_requests_not_run(history: History) -> Iterator[Violation]:
    """Check that a request that is refused as not run has not run."""
    runs = history.runs_by_request()
    for sent in history.ended():
        refused_as_not_run = (
            sent.response.status in NOT_RUN_STATUSES or b'"ran":"no"' in sent.response.body
        )
        if refused_as_not_run and runs.get(sent.request_id):
            yield Violation("true refusals", f"{sent.request_id}: {sent.response.status}, and ran")


def requests_unchanged(history: History) -> Iterator[Violation]:
    """Check that engines get each request unchanged, with its account and without its key."""
    for _, engine, run in history.runs():
        sent = history.sent.get(run.request_id.decode())
        if sent is None:
            yield Violation("as asked", f"{engine.engine_id} ran {run.request_id!r}: unknown")
            continue
        tenants = [value for name, value in run.request.headers if name == b"x-tenant"]
        if run.request.body != sent.body or tenants != [sent.account.encode()]:
            yield Violation("as asked", f"{sent.request_id} reached an engine changed")
        if run.request.header(b"api-key"):
            yield Violation("as asked", f"{sent.request_id} reached an engine with its key")


def response_bodies_intact(history: History) -> Iterator[Violation]:
    """Check that a complete successful response has the body that an engine sends for it."""
    events = history.engines[0][1].events
    stream = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, events + 1))
    for sent in history.ended():
        response = sent.response
        if response.status != 200 or not response.complete:
            continue
        expected = stream if sent.stream else b"answer to " + sent.request_id.encode()
        if response.body != expected:
            yield Violation("whole answers", f"{sent.request_id} got {response.body[-60:]!r}")


def forwarded_requests_answered(history: History) -> Iterator[Violation]:
    """Check that a live daemon closes no connection before it has answered a forwarded request.

    For a stream, this holds only if its engine finished it before the connection was closed, while
    the link of the engine worked.
    """
    runs = defaultdict(list)
    for _, engine, run in history.runs():
        runs[run.request_id.decode()].append((engine.engine_id, run))
    for sent in history.ended():
        if not sent.closed_early or history.fatally_disrupted(
            sent.daemon, sent.sent_at_s, sent.ended_at_s
        ):
            continue
        finished_runs = [
            run
            for engine_id, run in runs[sent.request_id]
            if run.ended
            # The last event may lie in the engine's process for as long as that process stalls.
            and run.ended_at_s + history.stalled_s(run.started_at_s, sent.ended_at_s)
            <= sent.ended_at_s
            and not history.fatally_disrupted(engine_id, run.started_at_s, sent.ended_at_s)
        ]
        # A stream may end early if its engine aborted it or the link of the engine lost it.
        if finished_runs if sent.stream else runs[sent.request_id]:
            yield Violation("answered", f"{sent.request_id}: {sent.daemon} closed its connection")


def responses_in_time(history: History) -> Iterator[Violation]:
    """Check that every request has a final response within its timeout."""
    for sent in history.ended():
        limit_s = sent.sent_at_s + route_timeout_s(sent) + TIMEOUT_MARGIN_S
        # The caller itself reads late while its process stalls.
        limit_s += history.stalled_s(sent.sent_at_s, sent.ended_at_s)
        late = sent.ended_at_s > limit_s and not sent.closed_early
        if late and not history.fatally_disrupted(sent.daemon, sent.sent_at_s, sent.ended_at_s):
            took_s = sent.ended_at_s - sent.sent_at_s
            yield Violation("in time", f"{sent.request_id} at {sent.daemon} took {took_s:.2f} s")


def route_timeout_s(sent: SentRequest) -> float:
    """Return the timeout of the route of a request, in seconds."""
    return 6.0 if sent.stream else 3.0


def configuration_applied(history: History) -> Iterator[Violation]:
    """Check that daemons apply the routes and keys of a configuration that may be in force."""
    services_by_request: dict[str, set[str]] = defaultdict(set)
    for service, _, run in history.runs():
        services_by_request[run.request_id.decode()].add(service)
    for sent in history.ended():
        possible = history.possible_configurations(sent, CONFIGURATION_APPLY_S)
        services = {configuration.services.get(sent.route, "") for configuration in possible}
        unexpected_services = services_by_request[sent.request_id] - services
        if unexpected_services:
            yield Violation(
                "configuration", f"{sent.request_id} ran at {unexpected_services}, not {services}"
            )
        key_known = [sent.key in configuration.keys for configuration in possible]
        if services_by_request[sent.request_id] and not any(key_known):
            yield Violation("configuration", f"{sent.request_id} ran with a removed key")
        if sent.response.status in (401, 404) and all(key_known) and "" not in services:
            yield Violation("configuration", f"{sent.request_id}: {sent.response.status}")


def drained_engines_unused(history: History) -> Iterator[Violation]:
    """Check that no request reaches an engine more than `DRAIN_S` after its drain notice."""
    for _, engine, run in history.runs():
        announced_at_s = history.drained_at_s.get(engine.engine_id)
        sent = history.sent.get(run.request_id.decode())
        if announced_at_s is None or sent is None or run.started_at_s <= announced_at_s + DRAIN_S:
            continue
        if not history.disrupted(sent.daemon, announced_at_s, run.started_at_s):
            late_s = run.started_at_s - announced_at_s
            yield Violation(
                "draining", f"{sent.request_id} reached {engine.engine_id} {late_s:.1f}"
            )


def retries_within_budget(history: History) -> Iterator[Violation]:
    """Check that the retries in every window stay within the retry budget of the deployment.

    The number of requests is the largest one of the window and of the windows that start half a
    window and a whole window earlier, since a retry is sent after its request.
    """
    request_times_s = sorted(sent.sent_at_s for sent in history.sent.values())
    retry_times_s = sorted(
        run.started_at_s
        for runs in history.runs_by_request().values()
        for run in sorted(runs, key=lambda run: run.started_at_s)[1:]
    )

    def count_between(times_s: list[float], from_s: float, until_s: float) -> int:
        return bisect_left(times_s, until_s) - bisect_left(times_s, from_s)

    for window_start_s in retry_times_s:
        window_end_s = window_start_s + RETRY_WINDOW_S
        retries = count_between(retry_times_s, window_start_s, window_end_s)
        requests = max(
            count_between(request_times_s, window_start_s - shift_s, window_end_s - shift_s)
            for shift_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        )
        if retries > RETRY_RATIO * requests + RETRY_SLACK:
            yield Violation("budget", f"{retries} retries for {requests} requests")
            return


def engine_limits_kept(history: History) -> Iterator[Violation]:
    """Check that daemons together keep each limit that an engine states, while it states it."""
    for _, engine in history.engines:
        for limit, arrivals in groupby(engine.arrivals, key=lambda arrival: arrival.limit):
            if not LIMIT_PATTERN.fullmatch(limit):
                continue
            limited = list(_undisrupted_arrivals(history, arrivals))
            for window in islice(exceeded_windows(limited, float(limit)), 1):
                yield Violation("limits", f"{engine.engine_id} with limit {limit} got {window}")


def _undisrupted_arrivals(
    history: History, arrivals: Iterable[Arrival]
) -> Iterator[LimitedArrival]:
    for arrival in arrivals:
        sent = history.sent.get(arrival.request_id.decode())
        if sent is None or history.disrupted(sent.daemon, arrival.at_s - WINDOW_S, arrival.at_s):
            continue
        yield LimitedArrival(sent.daemon, arrival.at_s, arrival.answered_at_s)


def crashing_requests_refused(history: History) -> Iterator[Violation]:
    """Check that requests that crash engines, or have such a part, soon reach none any more."""

    def in_touch(arrival: Arrival) -> bool:
        sent = history.sent.get(arrival.request_id.decode())
        return sent is not None and not history.disrupted(
            sent.daemon, arrival.at_s - CONTACT_S, arrival.at_s
        )

    engines = [engine for _, engine in history.engines]
    subjects: list[CrashSubject] = [*sorted(history.crashing_parts), *history.crashing_requests]
    for subject in subjects:
        late = late_sends(engines, subject, in_touch)
        if len(late) > TOLERATED_SENDS:
            yield Violation("crashing requests", f"{len(late)} sends of {subject} too late")


def one_count_per_usage_window(history: History) -> Iterator[Violation]:
    """Check that a usage window is reported with one count only."""
    reports_by_window: dict[int, list[UsageReport]] = defaultdict(list)
    for report in history.cloud.reports:
        if all(report.counts != other.counts for other in reports_by_window[report.window]):
            reports_by_window[report.window].append(report)
    for window, reports in reports_by_window.items():
        if len(reports) > 1:
            counts = ", ".join(map(str, reports))
            yield Violation("one report", f"window {window} was reported as {counts}")


def one_holder_per_token(history: History) -> Iterator[Violation]:
    """Check that a fencing token is used by one daemon only, also in calls that are refused."""
    holders: dict[int, set[str]] = defaultdict(set)
    for call in history.cloud.arrivals:
        holders[call.token].add(call.holder)
    for token, names in holders.items():
        if len(names) > 1:
            yield Violation("one holder", f"{sorted(names)} used token {token}")


def holders_do_not_alternate(history: History) -> Iterator[Violation]:
    """Check that no duty holder acts again within `LEASE_S` after another one acted meanwhile.

    This holds while both are in touch.
    """
    calls_by_subject: dict[str, list[DutyCall]] = defaultdict(list)
    for call in history.cloud.calls:
        calls_by_subject[call.subject].append(call)
    for subject, calls in calls_by_subject.items():
        last_index: dict[str, int] = {}
        for index, call in enumerate(calls):
            earlier_index = last_index.get(call.holder, index)
            last_index[call.holder] = index
            earlier = calls[earlier_index]
            if call.at_s - earlier.at_s > LEASE_S:
                continue
            for other in sorted({each.holder for each in calls[earlier_index + 1 : index]}):
                if any(
                    history.disrupted(holder, earlier.at_s, call.at_s)
                    for holder in (call.holder, other)
                ):
                    continue
                holders = f"{call.holder}, {other}, {call.holder}"
                yield Violation("holders in turn", f"{holders} acted on {subject}")


def memory_bounded(history: History) -> Iterator[Violation]:
    """Check that no daemon takes more memory than the platform gives."""
    for name, peak_mb in history.peak_memory_mb.items():
        if peak_mb > MAX_MEMORY_MB:
            yield Violation("memory", f"{name} took {peak_mb:.0f} MB")


def loops_not_held(history: History) -> Iterator[Violation]:
    """Check that no daemon holds its event loop for long by its own work."""
    longest_s: dict[str, float] = defaultdict(float)
    for hold in history.loop_holds:
        if not hold.own_work:
            continue
        longest_s[hold.daemon] = max(longest_s[hold.daemon], hold.held_s)
    for name, held_s in longest_s.items():
        if held_s > MAX_LOOP_HOLD_S:
            yield Violation("loop", f"{name} held its loop for {1000 * held_s:.1f} ms")


def no_unexpected_exits(history: History) -> Iterator[Violation]:
    """Check that no daemon exits unexpectedly."""
    for message in history.unexpected_exits:
        yield Violation("lives on", message)


CHECKS: tuple[Check, ...] = (
    at_most_once,
    refused_requests_not_run,
    requests_unchanged,
    response_bodies_intact,
    forwarded_requests_answered,
    responses_in_time,
    configuration_applied,
    drained_engines_unused,
    retries_within_budget,
    engine_limits_kept,
    crashing_requests_refused,
    one_count_per_usage_window,
    one_holder_per_token,
    holders_do_not_alternate,
    memory_bounded,
    loops_not_held,
    no_unexpected_exits,
)


def violations(history: History) -> Iterator[Violation]:
    """Yield every violated invariant."""
    for check in CHECKS:
        yield from check(history)
