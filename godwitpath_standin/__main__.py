"""Command line of the simulated platform, the upstreams and the test tools."""

from __future__ import annotations

import asyncio
import random
import shutil
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpath_standin.server import Standin, run

app = typer.Typer(name="godwitpath-standin", no_args_is_help=True)

Port = Annotated[int, typer.Option(help="Port to listen on; 0 for any free port.")]
Seed = Annotated[int, typer.Option(help="Seed of the random number generator.")]


@app.callback()
def root() -> None:
    """Simulated platform services and upstreams, and tools that test the product with them."""


@app.command()
def kv(
    port: Port = 0,
    seed: Seed = 0,
    latency_s: Annotated[float, typer.Option(help="Latency of each call.")] = 0.002,
    reads_per_s: Annotated[float, typer.Option(help="Limit of reads per second.")] = 2000.0,
    writes_per_s: Annotated[float, typer.Option(help="Limit of writes per second.")] = 500.0,
) -> None:
    """Run the key-value service."""
    from godwitpath_standin.kv_app import KeyValueStandin

    run(lambda: KeyValueStandin(latency_s, reads_per_s, writes_per_s).standin, port)


@app.command()
def service(
    port: Port = 0,
    seed: Seed = 0,
    run_s: Annotated[float, typer.Option(help="Duration of a call.")] = 0.02,
) -> None:
    """Run a plain service that counts executions."""
    from godwitpath_standin.service_app import PlainServiceStandin

    run(lambda: PlainServiceStandin(run_s).standin, port)


@app.command()
def engine(
    port: Port = 0,
    seed: Seed = 0,
    service_name: Annotated[str, typer.Option(help="Service of the engine.")] = "planner-lm",
    model: Annotated[str, typer.Option(help="Model loaded at the start.")] = "planner-7b",
    version: Annotated[str, typer.Option(help="Version of the weights.")] = "1",
    adapter: Annotated[list[str] | None, typer.Option(help="Adapter loaded at the start.")] = None,
    checks_fencing: Annotated[bool, typer.Option(help="Refuse stale fencing tokens.")] = True,
    weights_url: Annotated[
        str, typer.Option(help="Weight store; empty for a fixed load time.")
    ] = "",
    step_s: Annotated[float, typer.Option(help="Duration of a decoding step.")] = 0.02,
    step_per_sequence_s: Annotated[
        float, typer.Option(help="Added to a step by each further sequence.")
    ] = 0.0005,
    prefill_tokens_per_s: Annotated[float, typer.Option(help="Prefill speed.")] = 20_000.0,
    max_batch: Annotated[int, typer.Option(help="Maximum batch size.")] = 48,
    max_waiting: Annotated[int, typer.Option(help="Maximum queue length.")] = 200,
    cache_tokens: Annotated[int, typer.Option(help="Capacity of the prefix cache.")] = 400_000,
) -> None:
    """Run a model engine."""
    from godwitpath_standin.engine_app import EngineStandin
    from godwitpath_standin.engine_core import EngineParameters
    from godwitpath_standin.engine_orders import LoadedModel

    initial_model = LoadedModel(service_name, model, version, list(adapter or []))
    parameters = EngineParameters(
        step_s=step_s,
        step_per_sequence_s=step_per_sequence_s,
        prefill_tokens_per_s=prefill_tokens_per_s,
        max_batch=max_batch,
        max_waiting=max_waiting,
        cache_tokens=cache_tokens,
    )
    rng = random.Random(seed)

    def start() -> Standin:
        return EngineStandin(initial_model, parameters, rng, checks_fencing, weights_url).standin

    run(start, port)


@app.command()
def platform(
    port: Port = 0,
    seed: Seed = 0,
    instances: Annotated[Path | None, typer.Option(help="JSON file of the initial state.")] = None,
    list_lag_s: Annotated[float, typer.Option(help="Age of the instance list.")] = 1.0,
) -> None:
    """Run the cloud API, the instance list and the weight store."""
    from godwitpath_standin.platform_app import PlatformStandin, PlatformState

    raw_state = instances.read_bytes() if instances else b"{}"
    state = msgspec.json.decode(raw_state, type=PlatformState)
    run(lambda: PlatformStandin(state, list_lag_s).standin, port)


Deployment = Annotated[str, typer.Option(help="`ramdin` or `regroupement`.")]


@app.command()
def demo(
    deployment: Deployment = "ramdin",
    generations: Annotated[int, typer.Option(help="Streamed requests.")] = 240,
    calls: Annotated[int, typer.Option(help="Non-idempotent calls.")] = 60,
    rate_per_s: Annotated[float, typer.Option(help="Requests started per second.")] = 15.0,
    seed: Seed = 1,
) -> None:
    """Run a deployment under load, kill an entry and an engine; exit 1 on a violated guarantee."""
    from godwitpath_standin.demo import run_demo

    report = asyncio.run(run_demo(deployment, generations, calls, rate_per_s, seed))
    typer.echo(report.table())
    for failure in report.failures:
        typer.echo(failure, err=True)
    raise typer.Exit(1 if report.failures else 0)


@app.command()
def scenario(
    files: Annotated[list[Path], typer.Argument(help="Scenario files.")],
    seed: Seed = 1,
    write_golden: Annotated[
        bool, typer.Option(help="Write the transcripts as golden files.")
    ] = False,
) -> None:
    """Run scenario files on real processes; exit 1 when an expectation does not hold."""
    from godwitpath_standin.scenario.run import golden_path, run_scenario

    failed = 0
    for path in files:
        outcome = asyncio.run(run_scenario(path, seed))
        typer.echo(f"{path.name}: {outcome.failure or 'holds'} ({outcome.duration_s:.1f} s)")
        typer.echo(outcome.transcript)
        if write_golden and not outcome.failure:
            golden_path(path).write_text(outcome.transcript, encoding="utf-8")
        failed += bool(outcome.failure)
    raise typer.Exit(1 if failed else 0)


@app.command()
def serve_without(
    mechanism: Annotated[str, typer.Argument(help="Mechanism to disable.")],
    settings: Annotated[Path, typer.Option(help="JSON file with the settings.")],
) -> None:
    """Run an entry with one mechanism disabled, to check that the scenarios detect it."""
    from godwitpath_standin import disabled_mechanisms

    disabled_mechanisms.serve_without(mechanism, settings)


@app.command()
def prove(
    which: Annotated[str, typer.Argument(help="Number of a property, or all.")] = "all",
    seed: Seed = 1,
    trials: Annotated[int, typer.Option(help="Runs of each scenario.")] = 2,
    without_mechanism: Annotated[
        bool, typer.Option(help="Disable each property's mechanism; every property must then fail.")
    ] = False,
) -> None:
    """Test the guaranteed properties on real processes; exit 1 on a violation."""
    from godwitpath_standin import prove as proofs

    violations = 0
    typer.echo(proofs.HEADER)
    for row in proofs.prove(proofs.selected_properties(which), seed, trials, without_mechanism):
        typer.echo(str(row))
        for violation in row.violations:
            typer.echo(f"     {violation}", err=True)
        violations += len(row.violations)
    raise typer.Exit(1 if violations else 0)


@app.command()
def fleet(
    deployment: Deployment = "ramdin",
    entries: Annotated[int, typer.Option(help="Entries to start.")] = 6,
    seed: Seed = 1,
) -> None:
    """Start a deployment, print its addresses, and run until interrupted."""
    from godwitpath_standin.fleet_run import run_fleet

    asyncio.run(run_fleet(deployment, entries, seed))


@app.command()
def soak(
    seed: Seed = 1,
    minutes: Annotated[float, typer.Option(help="Time during which faults are started.")] = 1.0,
    processes: Annotated[int, typer.Option(help="Daemons to start.")] = 5,
    runs: Annotated[int, typer.Option(help="Number of runs, with consecutive seeds.")] = 1,
    logs: Annotated[
        Path | None, typer.Option(help="Folder for the logs of runs with violations.")
    ] = None,
    kills: Annotated[bool, typer.Option(help="Whether faults end processes of daemons.")] = True,
    floods: Annotated[
        bool, typer.Option(help="Whether engines and callers send without end.")
    ] = False,
    long_prompts: Annotated[
        bool, typer.Option(help="Whether callers also send prompts of up to 1,000 parts.")
    ] = False,
    old_build: Annotated[
        Path | None,
        typer.Option(
            help="Checkout of an earlier build; half of the daemons begin with it, and each restart"
            " of a daemon changes its build.",
            exists=True,
            file_okay=False,
            resolve_path=True,
        ),
    ] = None,
) -> None:
    """Inject random faults into a gateway's daemons; exit 1 on a violated invariant."""
    from godwitpath_standin.soak.run import SoakPlan, run_soak

    violated_runs = 0
    for number in range(seed, seed + runs):
        folder = logs / f"seed-{number}" if logs is not None else None
        plan = SoakPlan(number, minutes * 60, processes, kills, floods, old_build, long_prompts)
        outcome = asyncio.run(run_soak(plan, folder))
        for line in outcome.lines():
            typer.echo(line)
        violated_runs += bool(outcome.violations)
        if folder is not None and not outcome.violations:
            shutil.rmtree(folder)
    raise typer.Exit(1 if violated_runs else 0)


if __name__ == "__main__":
    app()
