"""The soak: its checks find what they are for, its proxy obeys, and a short run holds."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from godwitpath.gateway.cloud import FencingToken
from godwitpath.http1.messages import Request
from godwitpath_standin.gateway.caller import Answer
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.engine import EngineStandin, Run
from godwitpath_standin.soak.history import Disruption, History, Sent, Written
from godwitpath_standin.soak.promises import violations
from godwitpath_standin.soak.proxy import LoopbackProxy, Way
from godwitpath_standin.soak.run import SoakPlan, run_soak, unexplained
from test.raw_server import Exchange, RawServer, raw_server

SOAK_S = 12.0
"""Time of faults of the run in the test suite."""

FAILED_SEEDS = ((5, 30.0, "a daemon that still imported its modules ended at SIGHUP"),)
"""Seeds that once failed, with their time of faults and the cause."""


def sent(**changes: object) -> Sent:
    """Return a request at 100 s that was answered at once."""
    fields = {
        "request_id": "r1",
        "route": "book",
        "account": "hule",
        "key": "k1",
        "daemon": "edge-0",
        "once": True,
        "stream": False,
        "body": b"body",
        "sent_at_s": 100.0,
        "ended_at_s": 100.1,
        "answer": Answer(200, {}, b"answer to r1", True),
    } | changes
    return Sent(**fields)  # type: ignore[arg-type]


def run_of(request: Sent, began_at_s: float = 100.01, **changes: object) -> Run:
    """Return a run of a request as an engine should see it."""
    headers = [(b"x-tenant", request.account.encode())]
    seen = Request("POST", b"/book/x", headers, request.body, 0.0, 0.0)
    fields = {"began_at_s": began_at_s, "ended": True} | changes
    return Run(request.request_id.encode(), seen, **fields)  # type: ignore[arg-type]


def history(request: Sent, *runs: Run) -> History:
    """Return a history of one request, which ran at an engine of the right service."""
    seen = History(FakeCloud())
    engine = EngineStandin("i-1", runs=list(runs))
    seen.engines.append(("desk", engine))
    seen.sent[request.request_id] = request
    seen.written.append(Written(0.0, {"book": "desk", "plan": "desk"}, {"k1": "hule"}))
    return seen


def broken(seen: History) -> set[str]:
    """Return the names of the promises that a history breaks."""
    return {violation.promise for violation in violations(seen)}


class TestChecks:
    def test_a_history_in_order_breaks_nothing(self) -> None:
        request = sent()
        assert broken(history(request, run_of(request))) == set()

    def test_a_second_run(self) -> None:
        request = sent()
        assert broken(history(request, run_of(request), run_of(request))) == {"at most once"}
        moved = run_of(request)
        moved.request.headers.append((b"kv-from", b"h"))
        assert broken(history(request, run_of(request), moved)) == set()

    @pytest.mark.parametrize(
        "answer", [Answer(503, {}, b"", True), Answer(502, {}, b'{"ran":"no"}', True)]
    )
    def test_a_refusal_of_what_ran(self, answer: Answer) -> None:
        request = sent(answer=answer)
        assert broken(history(request, run_of(request))) == {"true refusals"}
        assert broken(history(request)) == set()

    def test_a_request_that_was_changed_on_its_way(self) -> None:
        request = sent()
        for change in ({"body": b"other"}, {"headers": [(b"x-tenant", b"fida")]}):
            run = run_of(request)
            for name, value in change.items():
                setattr(run.request, name, value)
            assert broken(history(request, run)) == {"as asked"}
        run = run_of(request)
        run.request.headers.append((b"api-key", b"k1"))
        assert broken(history(request, run)) == {"as asked"}

    def test_an_answer_of_another_request(self) -> None:
        request = sent(answer=Answer(200, {}, b"answer to r2", True))
        assert broken(history(request, run_of(request))) == {"whole answers"}

    def test_a_stream_with_a_gap(self) -> None:
        body = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 4, 5))
        request = sent(stream=True, route="plan", answer=Answer(200, {}, body, True))
        assert broken(history(request, run_of(request))) == {"whole answers"}

    def test_a_connection_closed_without_an_answer(self) -> None:
        request = sent(answer=Answer(), closed=True)
        seen = history(request, run_of(request))
        assert broken(seen) == {"answered"}
        seen.disruptions.append(Disruption("edge-0", 100.05, 100.2, fatal=True))
        assert broken(seen) == set()

    def test_a_stream_that_its_engine_made_and_that_arrived(self) -> None:
        request = sent(stream=True, route="plan", answer=Answer(), closed=True)
        assert broken(history(request, run_of(request, ended=False))) == set()
        # One that had been held on its way ran when its caller had been told already.
        assert broken(history(request, run_of(request, ended_at_s=100.2))) == set()
        seen = history(request, run_of(request))
        assert broken(seen) == {"answered"}
        seen.disruptions.append(Disruption("i-1", 100.05, 100.06, fatal=True))
        assert broken(seen) == set()

    def test_an_answer_after_the_limit(self) -> None:
        request = sent(ended_at_s=103.6)
        assert broken(history(request, run_of(request))) == {"in time"}

    def test_a_request_run_by_the_service_of_an_old_configuration(self) -> None:
        request = sent()
        seen = history(request, run_of(request))
        seen.written.append(Written(97.0, {"book": "annexe"}, {"k1": "hule"}))
        assert broken(seen) == {"configuration"}
        seen.disruptions.append(Disruption("edge-0", 90.0, 95.0))
        assert broken(seen) == set()

    def test_a_key_that_was_taken_away(self) -> None:
        request = sent()
        seen = history(request, run_of(request))
        seen.written.append(Written(97.0, {"book": "desk"}, {"k2": "hule"}))
        assert broken(seen) == {"configuration"}

    def test_a_refusal_of_a_key_that_holds(self) -> None:
        assert broken(history(sent(answer=Answer(401, {}, b"", True)))) == {"configuration"}

    def test_a_request_to_an_engine_that_left(self) -> None:
        request = sent()
        seen = history(request, run_of(request))
        seen.drained["i-1"] = 97.0
        assert broken(seen) == {"draining"}
        seen.drained["i-1"] = 98.0
        assert broken(seen) == set()

    def test_repeats_beyond_the_budget(self) -> None:
        requests = [sent(request_id=f"r{n}", once=False, answer=Answer()) for n in range(70)]
        runs = [run for request in requests for run in (run_of(request), run_of(request, 100.02))]
        seen = history(requests[0], *runs)
        seen.sent = {request.request_id: request for request in requests}
        assert broken(seen) == set()
        seen.sent = {request.request_id: request for request in requests[:40]}
        seen.engines[0][1].runs = [run for n in range(70) for run in (run_of(requests[0]),)]
        assert "budget" in broken(seen)

    def test_two_counts_of_a_window_and_two_holders_of_a_token(self) -> None:
        request = sent()
        seen = history(request, run_of(request))
        seen.cloud.usage[7] = [{"hule": 1}, {"hule": 2}]
        seen.cloud.calls += [FencingToken("edge-0", 5), FencingToken("edge-1", 5)]
        assert broken(seen) == {"one report", "one holder"}

    def test_a_daemon_that_ends_by_itself(self) -> None:
        request = sent()
        seen = history(request, run_of(request))
        seen.own_ends.append("edge-0 ended with status 1")
        assert broken(seen) == {"lives on"}

    def test_a_refusal_without_a_line(self, tmp_path: Path) -> None:
        request = sent(answer=Answer(503, {}, b'{"error":"no_engine"}', True))
        log = tmp_path / "edge-0.log"
        log.write_text('{"request":"r1"}\n')
        assert not list(unexplained(history(request), tmp_path))
        log.write_text('{"request":"r2"}\n')
        [violation] = unexplained(history(request), tmp_path)
        assert violation.promise == "explained"
        log.write_text('{"request":"r2","left_out":3}\n')
        assert not list(unexplained(history(request), tmp_path))
        log.write_text("Traceback\n")
        assert "no log line" in str(next(unexplained(history(request), tmp_path)))


@asynccontextmanager
async def proxied() -> AsyncIterator[tuple[RawServer, LoopbackProxy, Callable[[], asyncio.Task]]]:
    """Serve through a proxy; yields a function that asks once over it."""

    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"ok")

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
    async def test_it_forwards_and_delays(self) -> None:
        async with proxied() as (_, proxy, ask):
            assert (await ask()).endswith(b"ok")
            proxy.delay_s = 0.2
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await ask()
            assert loop.time() - began_s >= 0.4

    @pytest.mark.parametrize(("way", "arrived"), [(Way.UP, 0), (Way.DOWN, 1)])
    async def test_one_direction_is_held_until_it_heals(self, way: Way, arrived: int) -> None:
        async with proxied() as (server, proxy, ask):
            proxy.hold(way)
            asking = ask()
            done, _ = await asyncio.wait([asking], timeout=0.2)
            assert not done
            assert len(server.requests) == arrived
            proxy.heal()
            assert (await asking).endswith(b"ok")

    async def test_a_reset_is_seen_at_once(self) -> None:
        async with proxied() as (_, proxy, ask):
            proxy.hold(Way.UP)
            asking = ask()
            await asyncio.sleep(0.1)
            proxy.reset()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asking


@pytest.mark.xdist_group("soak")
async def test_a_short_soak_holds(tmp_path: Path) -> None:
    outcome = await run_soak(SoakPlan(seed=1, duration_s=SOAK_S, daemons=3), tmp_path)
    assert not outcome.violations, "\n".join(outcome.lines())
    assert outcome.statuses[200] > 0


@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize(("seed", "duration_s", "cause"), FAILED_SEEDS)
async def test_a_seed_that_once_failed_holds(
    tmp_path: Path, seed: int, duration_s: float, cause: str
) -> None:
    outcome = await run_soak(SoakPlan(seed, duration_s), tmp_path)
    assert not outcome.violations, "\n".join([cause, *outcome.lines()])
