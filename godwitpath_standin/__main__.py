"""Command line of the stand-ins: one module a stand-in."""

from __future__ import annotations

from typing import Annotated

import typer

from godwitpath_standin.server import run

app = typer.Typer(name="godwitpath-standin", no_args_is_help=True)

Port = Annotated[int, typer.Option(help="Port to listen on; 0 takes any free one.")]
Seed = Annotated[int, typer.Option(help="Seed of the random numbers.")]


@app.callback()
def root() -> None:
    """Stand-ins of the platform and of upstreams."""


@app.command()
def kv(
    port: Port = 0,
    seed: Seed = 0,
    latency_s: Annotated[float, typer.Option(help="Time of each call.")] = 0.002,
    reads_per_s: Annotated[float, typer.Option(help="Reads taken a second.")] = 2000.0,
    writes_per_s: Annotated[float, typer.Option(help="Writes taken a second.")] = 500.0,
) -> None:
    """Run the key-value service."""
    from godwitpath_standin.kv_app import KeyValueStandin

    run(lambda: KeyValueStandin(latency_s, reads_per_s, writes_per_s).standin, port)


@app.command()
def service(
    port: Port = 0,
    seed: Seed = 0,
    run_s: Annotated[float, typer.Option(help="Time that a call runs.")] = 0.02,
) -> None:
    """Run a plain service that counts what ran."""
    from godwitpath_standin.service_app import PlainServiceStandin

    run(lambda: PlainServiceStandin(run_s).standin, port)


if __name__ == "__main__":
    app()
