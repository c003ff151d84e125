"""The promises that a soak checks, from what callers, engines and the platform saw.

Each check goes over the whole history, so a promise that is broken late is found as well. Bounds
are those of the deployment's settings.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator

from godwitpath_standin.soak.history import History, Sent, Violation

APPLY_S = 2.5
"""Time within which a configuration is in force."""

DRAIN_S = 2.5
"""Longest time that an engine is used after it was said to leave."""

LATE_S = 0.5
"""Longest time past its own limit after which a request has a final answer."""

RETRY_RATIO = 0.2
"""Repeated sends as a part of the requests: the users' figure."""

RETRY_SLACK = 56
"""Repeated sends in a window beside the ratio, of all daemons: the users' figure."""

RETRY_WINDOW_S = 10.0
"""Time in which repeated sends are counted together."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

Check = Callable[[History], Iterator[Violation]]


def at_most_once(history: History) -> Iterator[Violation]:
    """A request that may not be repeated runs at most once."""
    for request_id, runs in history.runs_by_request().items():
        sent = history.sent.get(request_id)
        if sent is not None and sent.once and len(runs) > 1:
            yield Violation("at most once", f"{request_id} ran {len(runs)} times")


def true_refusals(history: History) -> Iterator[Violation]:
    """A request that is refused as not run has not run."""
    runs = history.runs_by_request()
    for sent in history.ended():
        promised = sent.answer.status in NOT_RUN or b'"ran":"no"' in sent.answer.body
        if promised and runs.get(sent.request_id):
            yield Violation("true refusals", f"{sent.request_id}: {sent.answer.status}, and ran")


def as_asked(history: History) -> Iterator[Violation]:
    """Engines run what callers sent, for the account that sent it, and see no key."""
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


def whole_answers(history: History) -> Iterator[Violation]:
    """A successful answer that is complete is the engine's, for this request, and whole."""
    events = history.engines[0][1].events
    stream = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, events + 1))
    for sent in history.ended():
        answer = sent.answer
        if answer.status != 200 or not answer.complete:
            continue
        due = stream if sent.stream else b"answer to " + sent.request_id.encode()
        if answer.body != due:
            yield Violation("whole answers", f"{sent.request_id} got {answer.body[-60:]!r}")


def answered(history: History) -> Iterator[Violation]:
    """A daemon that lives ends no connection without an answer to a request that it sent on.

    Of a stream, it passes on all that its engine made and that arrived.
    """
    runs = defaultdict(list)
    for _, engine, run in history.runs():
        runs[run.request_id.decode()].append((engine.engine_id, run))
    for sent in history.ended():
        if not sent.closed or history.broken(sent.daemon, sent.sent_at_s, sent.ended_at_s):
            continue
        delivered = [
            run
            for engine_id, run in runs[sent.request_id]
            if run.ended
            and run.ended_at_s <= sent.ended_at_s
            and not history.broken(engine_id, run.began_at_s, sent.ended_at_s)
        ]
        # A stream that its engine broke off, or that was lost on the way here, may end so.
        if delivered if sent.stream else runs[sent.request_id]:
            yield Violation("answered", f"{sent.request_id}: {sent.daemon} closed its connection")


def in_time(history: History) -> Iterator[Violation]:
    """Every request has a final answer by its own limit."""
    for sent in history.ended():
        limit_s = sent.sent_at_s + limit_of(sent) + LATE_S
        late = sent.ended_at_s > limit_s and not sent.closed
        if late and not history.broken(sent.daemon, sent.sent_at_s, sent.ended_at_s):
            took_s = sent.ended_at_s - sent.sent_at_s
            yield Violation("in time", f"{sent.request_id} at {sent.daemon} took {took_s:.2f} s")


def limit_of(sent: Sent) -> float:
    """Return the time that a request may take, in seconds: the timeout of its route."""
    return 6.0 if sent.stream else 3.0


def configuration_applied(history: History) -> Iterator[Violation]:
    """Requests go where a configuration in force sends them, and keys hold as it says."""
    served: dict[str, set[str]] = defaultdict(set)
    for service, _, run in history.runs():
        served[run.request_id.decode()].add(service)
    for sent in history.ended():
        allowed = history.in_force(sent, APPLY_S)
        services = {each.services.get(sent.route, "") for each in allowed}
        wrong = served[sent.request_id] - services
        if wrong:
            yield Violation("configuration", f"{sent.request_id} ran at {wrong}, not {services}")
        known = [sent.key in each.keys for each in allowed]
        if served[sent.request_id] and not any(known):
            yield Violation("configuration", f"{sent.request_id} ran with a key that is gone")
        if sent.answer.status in (401, 404) and all(known) and "" not in services:
            yield Violation("configuration", f"{sent.request_id}: {sent.answer.status}")


def drained_engines_left(history: History) -> Iterator[Violation]:
    """No request reaches an engine long after it was said to leave."""
    for _, engine, run in history.runs():
        told_at_s = history.drained.get(engine.engine_id)
        sent = history.sent.get(run.request_id.decode())
        if told_at_s is None or sent is None or run.began_at_s <= told_at_s + DRAIN_S:
            continue
        if not history.disturbed(sent.daemon, told_at_s, run.began_at_s):
            late_s = run.began_at_s - told_at_s
            yield Violation(
                "draining", f"{sent.request_id} reached {engine.engine_id} {late_s:.1f}"
            )


def repeats_within_budget(history: History) -> Iterator[Violation]:
    """Repeated sends stay within the budget of the deployment, in every window."""
    first = sorted(sent.sent_at_s for sent in history.sent.values())
    repeats = sorted(
        run.began_at_s
        for runs in history.runs_by_request().values()
        for run in sorted(runs, key=lambda run: run.began_at_s)[1:]
    )

    def within(times: list[float], from_s: float, until_s: float) -> int:
        return bisect_left(times, until_s) - bisect_left(times, from_s)

    for start_s in repeats:
        end_s = start_s + RETRY_WINDOW_S
        extra = within(repeats, start_s, end_s)
        requests = max(
            within(first, start_s - shift_s, end_s - shift_s)
            for shift_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        )
        if extra > RETRY_RATIO * requests + RETRY_SLACK:
            yield Violation("budget", f"{extra} repeats beside {requests} requests")
            return


def one_report(history: History) -> Iterator[Violation]:
    """A usage window has one count."""
    for window, reports in history.cloud.usage.items():
        if len(reports) > 1:
            yield Violation("one report", f"window {window} was reported as {reports}")


def one_holder(history: History) -> Iterator[Violation]:
    """A fencing token belongs to one daemon."""
    holders: dict[int, set[str]] = defaultdict(set)
    for fencing_token in history.cloud.calls:
        holders[fencing_token.number].add(fencing_token.holder)
    for token, names in holders.items():
        if len(names) > 1:
            yield Violation("one holder", f"{sorted(names)} used token {token}")


def no_own_ends(history: History) -> Iterator[Violation]:
    """No daemon ends by itself."""
    for end in history.own_ends:
        yield Violation("lives on", end)


CHECKS: tuple[Check, ...] = (
    at_most_once,
    true_refusals,
    as_asked,
    whole_answers,
    answered,
    in_time,
    configuration_applied,
    drained_engines_left,
    repeats_within_budget,
    one_report,
    one_holder,
    no_own_ends,
)


def violations(history: History) -> Iterator[Violation]:
    """Yield every promise that is broken so far."""
    for check in CHECKS:
        yield from check(history)
