"""Soak: its invariant checks detect violations, its proxy injects faults, and short soaks pass."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from godwitpath.http1.messages import Request
from godwitpath_standin.gateway.caller import ClientResponse
from godwitpath_standin.gateway.cloud import DutyCall, FakeCloud, UsageReport
from godwitpath_standin.gateway.engine import Arrival, EngineStandin, Run
from godwitpath_standin.soak.environment import Daemon
from godwitpath_standin.soak.history import (
    Disruption,
    History,
    SentRequest,
    Stall,
    WrittenConfiguration,
)
from godwitpath_standin.soak.invariants import violations
from godwitpath_standin.soak.proxy import LoopbackProxy, Way
from godwitpath_standin.soak.run import SoakPlan, run_soak, unlogged_refusals
from test.raw_server import Exchange, RawServer, raw_server

SOAK_S = 12.0
"""Time during which the soak of the test suite injects faults."""

FAILED_SEEDS = (
    (5, 30.0, "SIGHUP ended a daemon that was still importing its modules"),
    (1103, 12.0, "a usage window was reported again after a restore of the store"),
)
"""Seeds of soaks that failed in the past: seed, time of faults in seconds and cause."""


def sent(**changes: object) -> SentRequest:
    """Return a request that was sent at 100 s and answered 0.1 s later."""
    fields = {
        "request_id": "r1",
        "route": "book",
        "account": "hule",
        "key": "k1",
        "daemon": "edge-0",
        "non_idempotent": True,
        "stream": False,
        "body": b"body",
        "sent_at_s": 100.0,
        "ended_at_s": 100.1,
        "response": ClientResponse(200, {}, b"answer to r1", True),
    } | changes
    return SentRequest(**fields)  # type: ignore[arg-type]


def run_of(request: SentRequest, started_at_s: float = 100.01, **changes: object) -> Run:
    """Return a valid run of a request."""
    headers = [(b"x-tenant", request.account.encode())]
    engine_request = Request("POST", b"/book/x", headers, request.body, 0.0, 0.0)
    fields = {"started_at_s": started_at_s, "ended": True} | changes
    return Run(request.request_id.encode(), engine_request, **fields)  # type: ignore[arg-type]


def history(request: SentRequest, *runs: Run) -> History:
    """Return a history with one request and its runs at an engine of its service."""
    recorded = History(FakeCloud())
    engine = EngineStandin("i-1", runs=list(runs))
    recorded.engines.append(("desk", engine))
    recorded.sent[request.request_id] = request
    recorded.written.append(
        WrittenConfiguration(0.0, {"book": "desk", "plan": "desk"}, {"k1": "hule"})
    )
    return recorded


def violated(recorded: History) -> set[str]:
    """Return the names of the invariants that a history violates."""
    return {violation.invariant for violation in violations(recorded)}


class TestChecks:
    def test_valid_history_has_no_violation(self) -> None:
        request = sent()
        assert violated(history(request, run_of(request))) == set()

    def test_second_run_is_a_violation(self) -> None:
        request = sent()
        assert violated(history(request, run_of(request), run_of(request))) == {"at most once"}
        moved = run_of(request)
        moved.request.headers.append((b"kv-from", b"h"))
        assert violated(history(request, run_of(request), moved)) == set()

    @pytest.mark.parametrize(
        "response",
        [ClientResponse(503, {}, b"", True), ClientResponse(502, {}, b'{"ran":"no"}', True)],
    )
    def test_refusal_after_a_run_is_a_violation(self, response: ClientResponse) -> None:
        request = sent(response=response)
        assert violated(history(request, run_of(request))) == {"true refusals"}
        assert violated(history(request)) == set()

    def test_changed_request_is_a_violation(self) -> None:
        request = sent()
        for change in ({"body": b"other"}, {"headers": [(b"x-tenant", b"fida")]}):
            run = run_of(request)
            for name, value in change.items():
                setattr(run.request, name, value)
            assert violated(history(request, run)) == {"as asked"}
        run = run_of(request)
        run.request.headers.append((b"api-key", b"k1"))
        assert violated(history(request, run)) == {"as asked"}

    def test_response_to_another_request_is_a_violation(self) -> None:
        request = sent(response=ClientResponse(200, {}, b"answer to r2", True))
        assert violated(history(request, run_of(request))) == {"whole answers"}

    def test_stream_with_a_gap_is_a_violation(self) -> None:
        body = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 4, 5))
        request = sent(stream=True, route="plan", response=ClientResponse(200, {}, body, True))
        assert violated(history(request, run_of(request))) == {"whole answers"}

    def test_connection_closed_without_a_response_is_a_violation(self) -> None:
        request = sent(response=ClientResponse(), closed_early=True)
        recorded = history(request, run_of(request))
        assert violated(recorded) == {"answered"}
        recorded.disruptions.append(Disruption("edge-0", 100.05, 100.2, fatal=True))
        assert violated(recorded) == set()

    def test_early_end_of_a_finished_stream_is_a_violation(self) -> None:
        request = sent(stream=True, route="plan", response=ClientResponse(), closed_early=True)
        assert violated(history(request, run_of(request, ended=False))) == set()
        # This run ended after the daemon had closed the connection, since its link was delayed.
        assert violated(history(request, run_of(request, ended_at_s=100.2))) == set()
        # The process of the engine stalled for less, and for more, than from its end to the close.
        recorded = history(request, run_of(request, ended_at_s=100.06))
        recorded.stalls.append(Stall(100.02, 100.05))
        assert violated(recorded) == {"answered"}
        recorded.stalls.append(Stall(100.05, 100.07))
        assert violated(recorded) == set()
        recorded = history(request, run_of(request))
        assert violated(recorded) == {"answered"}
        recorded.disruptions.append(Disruption("i-1", 100.05, 100.06, fatal=True))
        assert violated(recorded) == set()

    def test_response_after_the_timeout_is_a_violation(self) -> None:
        request = sent(ended_at_s=103.6)
        recorded = history(request, run_of(request))
        assert violated(recorded) == {"in time"}
        # The caller's own process ran late: enough of the time, and not enough.
        recorded.stalls.append(Stall(103.55, 104.0))
        assert violated(recorded) == {"in time"}
        recorded.stalls.append(Stall(103.0, 103.1))
        assert violated(recorded) == set()

    def test_run_at_the_service_of_an_old_configuration_is_a_violation(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        recorded.written.append(WrittenConfiguration(97.0, {"book": "annexe"}, {"k1": "hule"}))
        assert violated(recorded) == {"configuration"}
        recorded.disruptions.append(Disruption("edge-0", 90.0, 95.0))
        assert violated(recorded) == set()

    def test_run_with_a_removed_key_is_a_violation(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        recorded.written.append(WrittenConfiguration(97.0, {"book": "desk"}, {"k2": "hule"}))
        assert violated(recorded) == {"configuration"}

    def test_refusal_of_a_valid_key_is_a_violation(self) -> None:
        assert violated(history(sent(response=ClientResponse(401, {}, b"", True)))) == {
            "configuration"
        }

    def test_request_to_a_drained_engine_is_a_violation(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        recorded.drained_at_s["i-1"] = 97.0
        assert violated(recorded) == {"draining"}
        recorded.drained_at_s["i-1"] = 98.0
        assert violated(recorded) == set()

    def test_retries_beyond_the_budget_are_a_violation(self) -> None:
        requests = [
            sent(request_id=f"r{n}", non_idempotent=False, response=ClientResponse())
            for n in range(70)
        ]
        runs = [run for request in requests for run in (run_of(request), run_of(request, 100.02))]
        recorded = history(requests[0], *runs)
        recorded.sent = {request.request_id: request for request in requests}
        assert violated(recorded) == set()
        recorded.sent = {request.request_id: request for request in requests[:40]}
        recorded.engines[0][1].runs = [run for n in range(70) for run in (run_of(requests[0]),)]
        assert "budget" in violated(recorded)

    def test_late_requests_with_a_crashing_part_are_a_violation(self) -> None:
        requests = [
            sent(request_id=f"r{n}", response=ClientResponse(502, {}, b"", True)) for n in range(9)
        ]
        recorded = history(requests[0])
        recorded.sent = {each.request_id: each for each in requests}
        recorded.crashing_parts = {"dead"}
        for number, request in enumerate(requests):
            engine = EngineStandin(f"i-{number}", crashed_at_s=100.0, crashed_on="dead")
            at_s = 100.0 if number < 5 else 104.1
            engine.arrivals = [Arrival(request.request_id.encode(), at_s, shared_parts=("dead",))]
            recorded.engines.append(("lm", engine))
        assert violated(recorded) == {"crashing requests"}
        recorded.disruptions.append(Disruption("edge-0", 101.0, 101.1))
        assert violated(recorded) == set()

    def test_two_counts_of_a_window_and_two_holders_of_a_token_are_violations(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        first, second = (DutyCall("usage", name, 5, 100.0) for name in ("edge-0", "edge-1"))
        recorded.cloud.reports += [UsageReport(7, {"hule": 1}, first)] * 2
        recorded.cloud.arrivals.append(first)
        assert violated(recorded) == set()
        recorded.cloud.reports.append(UsageReport(7, {"hule": 2}, second))
        recorded.cloud.arrivals.append(second)
        assert violated(recorded) == {"one report", "one holder"}

    def test_a_holder_that_acts_again_after_another_one_is_a_violation(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        names = ("edge-0", "edge-0", "edge-1", "edge-1", "edge-0")
        recorded.cloud.calls += [
            DutyCall("usage", name, 5 + number, 100.0 + number) for number, name in enumerate(names)
        ]
        assert violated(recorded) == {"holders in turn"}
        recorded.disruptions.append(Disruption("edge-1", 97.0, 97.1))
        assert violated(recorded) == set()
        recorded.disruptions.clear()
        late = DutyCall("usage", "edge-0", 9, 104.1)
        recorded.cloud.calls[-1:] = [late]
        assert violated(recorded) == set()
        recorded.cloud.calls[-1:] = [replace(late, at_s=104.0, subject="engines of desk in a")]
        assert violated(recorded) == set()

    def test_a_disrupted_third_holder_does_not_excuse_two_that_act_in_turn(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        recorded.cloud.calls += [
            DutyCall("usage", name, 5 + number, 100.0 + number / 2)
            for number, name in enumerate(("edge-0", "edge-1", "edge-2", "edge-0"))
        ]
        recorded.disruptions.append(Disruption("edge-2", 97.0, 97.1))
        assert violated(recorded) == {"holders in turn"}
        recorded.disruptions.append(Disruption("edge-1", 97.0, 97.1))
        assert violated(recorded) == set()

    def test_unexpected_exit_of_a_daemon_is_a_violation(self) -> None:
        request = sent()
        recorded = history(request, run_of(request))
        recorded.unexpected_exits.append("edge-0 ended with status 1")
        assert violated(recorded) == {"lives on"}

    def test_refusal_without_a_log_line_is_a_violation(self, tmp_path: Path) -> None:
        request = sent(response=ClientResponse(503, {}, b'{"error":"no_engine"}', True))
        log = tmp_path / "edge-0.log"
        log.write_text('{"request":"r1"}\n')
        assert not list(unlogged_refusals(history(request), tmp_path))
        log.write_text('{"request":"r2"}\n')
        [violation] = unlogged_refusals(history(request), tmp_path)
        assert violation.invariant == "explained"
        log.write_text('{"request":"r2","left_out":3}\n')
        assert not list(unlogged_refusals(history(request), tmp_path))
        log.write_text("Traceback\n")
        assert "no log line" in str(next(unlogged_refusals(history(request), tmp_path)))

    def test_lines_that_one_daemon_left_out_excuse_no_other_one(self, tmp_path: Path) -> None:
        request = sent(response=ClientResponse(503, {}, b'{"error":"no_engine"}', True))
        (tmp_path / "edge-0.log").write_text('{"request":"r2"}\n')
        (tmp_path / "edge-1.log").write_text('{"request":"r3","left_out":3}\n')
        [violation] = unlogged_refusals(history(request), tmp_path)
        assert violation.invariant == "explained"
        request.daemon = "edge-1"
        assert not list(unlogged_refusals(history(request), tmp_path))


@asynccontextmanager
async def proxied() -> AsyncIterator[tuple[RawServer, LoopbackProxy, Callable[[], asyncio.Task]]]:
    """Run a server behind a proxy.

    Yields the server, the proxy and a function that sends one request through the proxy.
    """

    async def handle(exchange: Exchange) -> None:
        exchange.respond(b"ok")

    async def ask(proxy: LoopbackProxy) -> bytes:
        reader, writer = await asyncio.open_connection(proxy.address.host, proxy.address.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
        try:
            return await reader.readuntil(b"ok")
        finally:
            writer.close()

    async with raw_server(handle) as server:
        proxy = LoopbackProxy(server.address)
        await proxy.start()
        yield server, proxy, lambda: asyncio.create_task(ask(proxy))
        await proxy.stop()


class TestProxy:
    async def test_proxy_forwards_and_delays(self) -> None:
        async with proxied() as (_, proxy, ask):
            assert (await ask()).endswith(b"ok")
            proxy.delay_s = 0.2
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            await ask()
            assert loop.time() - started_at_s >= 0.4

    @pytest.mark.parametrize(("direction", "arrived"), [(Way.UP, 0), (Way.DOWN, 1)])
    async def test_blocked_direction_delivers_after_heal(
        self, direction: Way, arrived: int
    ) -> None:
        async with proxied() as (server, proxy, ask):
            proxy.hold(direction)
            response_task = ask()
            done, _ = await asyncio.wait([response_task], timeout=0.2)
            assert not done
            assert len(server.requests) == arrived
            proxy.clear_faults()
            assert (await response_task).endswith(b"ok")

    async def test_a_kept_port_refuses_connections_and_is_not_free(self) -> None:
        async with proxied() as (_, proxy, ask):
            await proxy.stop(keep_port=True)
            with pytest.raises(ConnectionRefusedError):
                await ask()
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind((proxy.address.host, proxy.address.port))

    async def test_reset_reaches_the_client_at_once(self) -> None:
        async with proxied() as (_, proxy, ask):
            proxy.hold(Way.UP)
            response_task = ask()
            await asyncio.sleep(0.1)
            proxy.reset()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await response_task


async def test_a_starting_daemon_never_reads_half_written_settings(tmp_path: Path) -> None:
    async with proxied() as (_, proxy, _ask):
        daemon = Daemon("d1", "a", [1, 2, 3, 4], tmp_path)
        daemon.store_link = daemon.cloud_link = proxy
        path = tmp_path / "d1.json"
        path.write_text("{}")
        with path.open() as opened_before:
            daemon.write_settings()
            assert opened_before.read() == "{}"
        assert path.read_text().endswith("}")


@pytest.mark.xdist_group("soak")
async def test_short_soak_has_no_violation(tmp_path: Path) -> None:
    outcome = await run_soak(SoakPlan(seed=1, duration_s=SOAK_S, daemons=3), tmp_path)
    assert not outcome.violations, "\n".join(outcome.lines())
    assert outcome.statuses[200] > 0


@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize(("seed", "duration_s", "cause"), FAILED_SEEDS)
async def test_seed_that_failed_before_has_no_violation(
    tmp_path: Path, seed: int, duration_s: float, cause: str
) -> None:
    outcome = await run_soak(SoakPlan(seed, duration_s), tmp_path)
    assert not outcome.violations, "\n".join([cause, *outcome.lines()])


async def test_flooded_seed_that_failed_before_has_no_violation(tmp_path: Path) -> None:
    """Guards against comments of a lost run before the events of the next one."""
    outcome = await run_soak(SoakPlan(1, SOAK_S, daemons=3, floods=True), tmp_path)
    assert not outcome.violations, "\n".join(outcome.lines())
