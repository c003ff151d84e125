"""Runs a soak: starts the deployment, injects faults and checks the invariants."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from godwitpath_standin.gateway.engine import RequestCopy
from godwitpath_standin.soak.callers import Balancer, Caller, probe
from godwitpath_standin.soak.drills import TimedFault, draw_drills
from godwitpath_standin.soak.environment import ACCOUNTS, Daemon, SoakEnvironment
from godwitpath_standin.soak.faults import ENDING_FAULTS, AnyFault, draw_fault
from godwitpath_standin.soak.floods import draw_floods
from godwitpath_standin.soak.history import History, Violation
from godwitpath_standin.soak.injection import heal, inject
from godwitpath_standin.soak.invariants import violations
from godwitpath_standin.soak.long_prompts import LongPrompts
from godwitpath_standin.soak.loop_holds import describe_waits, read_loop_holds
from godwitpath_standin.soak.memory import record_memory
from godwitpath_standin.soak.readability import unreadable_messages
from godwitpath_standin.soak.self_reports import (
    SelfReportSummary,
    record_self_reports,
    summarize_self_reports,
)
from godwitpath_standin.soak.usage_report import UsageSummary, summarize_usage

READY_S = 60.0
"""Longest time until all daemons are ready after their start, on a busy machine."""

MEAN_FAULT_GAP_S = 1.0
"""Mean time between the starts of two faults; many faults last longer, so that faults overlap."""

CHECK_S = 5.0
"""Time between two checks of the invariants."""

RECOVERY_S = 12.0
"""Time after the last fault within which all daemons serve requests, as the platform specifies."""

PROBES_S = 3.0
"""Time in which the balancer probes every daemon twice."""

MAX_STALL_WAIT_S = 20.0
"""Longest time for which the check of the recovery waits for the soak's own process."""

MAX_PROBES = 5
"""Maximum number of probes of a daemon while the process of the engines stalls."""

CALLERS_PER_DAEMON = 3
MAX_CALLERS = 45
ENGINES_PER_SERVICE = 2


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """Parameters of a soak.

    :ivar seed: seed of the faults and of the callers
    :ivar duration_s: time during which faults begin
    :ivar daemons: number of daemon processes
    :ivar kills: whether faults end processes of daemons
    :ivar floods: whether engines and callers send without end
    :ivar old_build: root of a checkout of an earlier build, which daemons run at every second start
    :ivar long_prompts: whether callers also send prompts of many parts, or with long ids
    """

    seed: int
    duration_s: float
    daemons: int = 5
    kills: bool = True
    floods: bool = False
    old_build: Path | None = None
    long_prompts: bool = False


@dataclass(slots=True)
class SoakOutcome:
    """Result of a soak.

    :ivar faults: injected faults with the time at which each began, in order
    :ivar began_at_s: seconds since 1970 at which the faults began
    :ivar waits: lines on the times at which a daemon had no processor, which excuse nothing
    :ivar statuses: number of requests by HTTP status, 0 for no response
    :ivar stalled_s: time for which the soak's own process ran late
    :ivar peak_memory_mb: largest resident memory of a daemon
    :ivar usage: how the reported usage compares with the engines' runs
    :ivar self_reports: what the daemons state about their datagrams and event loops
    """

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    began_at_s: float = 0.0
    waits: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    stalled_s: float = 0.0
    peak_memory_mb: float = 0.0
    usage: UsageSummary = field(default_factory=UsageSummary)
    self_reports: SelfReportSummary = field(default_factory=SelfReportSummary)

    def lines(self) -> Iterator[str]:
        """Yield the lines of the report."""
        plan = self.plan
        status_counts = ", ".join(f"{status}: {n}" for status, n in sorted(self.statuses.items()))
        verdict = f"{len(self.violations)} broken" if self.violations else "all invariants held"
        yield (
            f"seed {plan.seed}: {verdict}; {plan.daemons} daemons, {len(self.faults)} faults in "
            f"{plan.duration_s:.0f} s, {self.statuses.total()} requests ({status_counts}); "
            f"{self.usage}; {self.self_reports}; up to {self.peak_memory_mb:.0f} MB a daemon; "
            f"stalled for {self.stalled_s:.1f} s"
        )
        if self.violations:
            yield from self.faults
            yield from self.waits
            yield from map(str, self.violations)


async def run_soak(plan: SoakPlan, keep_logs: Path | None = None) -> SoakOutcome:
    """Run a soak until its end or the first violated invariant.

    :param keep_logs: folder for the logs of the daemons, None to discard them
    """
    outcome = SoakOutcome(plan)
    rng = random.Random(plan.seed)
    async with AsyncExitStack() as stack:
        folder = keep_logs
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="godwitpath-")))
        folder.mkdir(parents=True, exist_ok=True)
        environment = SoakEnvironment(rng, folder, stack, plan.old_build)
        await environment.start(plan.daemons, ENGINES_PER_SERVICE)
        balancer = Balancer(environment.daemons)
        background_tasks = [
            asyncio.create_task(job)
            for job in (
                balancer.run(),
                record_memory(environment),
                record_self_reports(environment),
            )
        ]
        stack.push_async_callback(_cancel, background_tasks)
        await wait_until(lambda: len(balancer.ready()) == plan.daemons, READY_S)
        callers = [
            _caller(environment, balancer, plan, number)
            for number in range(min(CALLERS_PER_DAEMON * plan.daemons, MAX_CALLERS))
        ]
        background_tasks += [asyncio.create_task(caller.run()) for caller in callers]
        background_tasks.append(asyncio.create_task(_send_crashing_prompts(environment, plan)))
        background_tasks.append(asyncio.create_task(_send_crashing_requests(environment, plan)))
        await _inject_faults(environment, plan, outcome)
        if not outcome.violations:
            await _check_recovery(environment, balancer, outcome)
        holds = environment.history.loop_holds
        holds += read_loop_holds(folder)
        outcome.waits = list(describe_waits(holds, outcome.began_at_s))
        outcome.violations = outcome.violations or list(violations(environment.history))
        outcome.statuses = Counter(sent.response.status for sent in environment.history.ended())
        outcome.stalled_s = environment.history.stalled_s(0.0, environment.now_s)
        outcome.peak_memory_mb = max(environment.history.peak_memory_mb.values(), default=0.0)
        outcome.usage = summarize_usage(environment.history, time.time(), environment.now_s)
        outcome.self_reports = summarize_self_reports(environment.history.self_reports.values())
        outcome.violations += log_violations(environment.history, folder)
    return outcome


def _caller(
    environment: SoakEnvironment, balancer: Balancer, plan: SoakPlan, number: int
) -> Caller:
    name = f"c{number}"
    long_prompts = LongPrompts(plan.seed, name) if plan.long_prompts else None
    rng = random.Random(f"{plan.seed} {number}")
    return Caller(environment, balancer, rng, name, long_prompts)


async def _inject_faults(
    environment: SoakEnvironment, plan: SoakPlan, outcome: SoakOutcome
) -> None:
    names = [daemon.name for daemon in environment.daemons]
    started_at_s = environment.now_s
    outcome.began_at_s = time.time()
    check_at_s = started_at_s + CHECK_S
    positions = len(environment.positions)
    async with asyncio.TaskGroup() as group:

        def begin(fault: AnyFault) -> None:
            if plan.kills or not isinstance(fault, ENDING_FAULTS):
                at_s = environment.now_s - started_at_s
                outcome.faults.append(f"{at_s:7.2f} s  {fault}")
                group.create_task(inject(fault, environment))

        async def begin_in_time(faults: Iterable[TimedFault]) -> None:
            for at_s, fault in faults:
                await asyncio.sleep(started_at_s + at_s - environment.now_s)
                if outcome.violations:
                    return
                begin(fault)

        timed_faults = [("drills", draw_drills)]
        if plan.floods:
            timed_faults.append(("floods", draw_floods))
        for name, draw in timed_faults:
            rng = random.Random(f"{plan.seed} {name}")
            group.create_task(begin_in_time(draw(rng, names, positions, plan.duration_s)))
        while environment.now_s < started_at_s + plan.duration_s and not outcome.violations:
            begin(draw_fault(environment.rng, names, positions))
            await asyncio.sleep(environment.rng.expovariate(1 / MEAN_FAULT_GAP_S))
            if environment.now_s >= check_at_s:
                outcome.violations = list(violations(environment.history))
                check_at_s = environment.now_s + CHECK_S
    heal(environment)


async def _send_crashing_prompts(environment: SoakEnvironment, plan: SoakPlan) -> None:
    """Have prompts with one part crash engines from some moment on, until the faults end."""
    rng = random.Random(f"{plan.seed} crashing prompts")
    await asyncio.sleep(rng.uniform(0.0, plan.duration_s / 3))
    part = f"dead{plan.seed:x}"
    environment.history.crashing_parts.add(part)
    environment.crashing_parts.add(part)


async def _send_crashing_requests(environment: SoakEnvironment, plan: SoakPlan) -> None:
    """Have copies of one request crash engines from some moment on, until the faults end."""
    rng = random.Random(f"{plan.seed} crashing requests")
    await asyncio.sleep(rng.uniform(0.0, plan.duration_s / 3))
    target = rng.choice([b"/read/x", b"/book/x"])
    account = rng.choice(ACCOUNTS).encode()
    copy = RequestCopy(target, account, b"crashes engines")
    environment.history.crashing_requests.add(copy)
    environment.crashing_requests.add(copy)


async def _check_recovery(
    environment: SoakEnvironment, balancer: Balancer, outcome: SoakOutcome
) -> None:
    """Check that every daemon is ready and serves requests `RECOVERY_S` after the last fault."""
    await asyncio.sleep(RECOVERY_S)
    await _wait_for_probes_in_time(environment)
    ready = {daemon.name for daemon in balancer.ready()}
    for daemon in environment.daemons:
        if daemon.name not in ready:
            outcome.violations.append(Violation("recovers", f"{daemon.name} is not ready"))
            continue
        status = await _probe(environment, daemon)
        if status != 200:
            outcome.violations.append(Violation("recovers", f"{daemon.name} answers {status}"))


async def _wait_for_probes_in_time(environment: SoakEnvironment) -> None:
    """Wait until the balancer's last probes were not late for a stall of its own process."""
    give_up_s = environment.now_s + MAX_STALL_WAIT_S
    while environment.now_s < give_up_s:
        if not environment.history.stalled_s(environment.now_s - PROBES_S, environment.now_s):
            break
        await asyncio.sleep(0.1)


async def _probe(environment: SoakEnvironment, daemon: Daemon) -> int:
    """Return the status of a probe, the next one's if the engines' process stalled meanwhile."""
    for _ in range(MAX_PROBES):
        asked_at_s = environment.now_s
        status = await probe(environment, daemon)
        if status == 200 or not environment.history.stalled_s(asked_at_s, environment.now_s):
            break
    return status


def log_violations(history: History, folder: Path) -> Iterator[Violation]:
    """Yield every violation that the logs of the daemons show.

    :param folder: folder with the logs of the daemons
    """
    yield from unlogged_refusals(history, folder)
    yield from unreadable_messages(folder)


def unlogged_refusals(history: History, folder: Path) -> Iterator[Violation]:
    """Yield a violation for each refusal that no log of a daemon mentions.

    A log with omitted lines (`left_out`) proves nothing about the refusals of its daemon.

    :param folder: folder with the logs of the daemons
    """
    logged_requests: set[str] = set()
    incomplete_logs: set[str] = set()
    for path in folder.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                yield Violation("explained", f"{path.name}: no log line: {line[:200]}")
                continue
            if entry.get("left_out"):
                incomplete_logs.add(path.stem)
            logged_requests.add(str(entry.get("request", "")))
    for sent in history.ended():
        if b'"error"' not in sent.response.body or sent.request_id in logged_requests:
            continue
        if sent.daemon in incomplete_logs:
            continue
        if not history.disrupted(sent.daemon, sent.sent_at_s, sent.ended_at_s + 1.0):
            yield Violation("explained", f"{sent.request_id}: {sent.response.status}, no line")


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: it does not hold in time
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not condition():
        if loop.time() > end_s:
            raise TimeoutError(f"not ready after {timeout_s:.0f} s")
        await asyncio.sleep(0.05)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
