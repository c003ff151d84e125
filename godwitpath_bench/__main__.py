"""Command line of the experiments: one module an experiment."""

from __future__ import annotations

import typer

from godwitpath_bench import (
    capacity,
    control,
    execution,
    explain,
    gossip,
    overload,
    path,
    reclaim,
    records,
    retries,
    rollout,
    routing,
    shares,
    subsets,
)

app = typer.Typer(name="godwitpath-bench", no_args_is_help=True)


@app.callback()
def root() -> None:
    """Experiments, each with its baselines."""


control.register(app)
capacity.register(app)
execution.register(app)
explain.register(app)
gossip.register(app)
overload.register(app)
path.register(app)
reclaim.register(app)
records.register(app)
retries.register(app)
rollout.register(app)
routing.register(app)
shares.register(app)
subsets.register(app)

if __name__ == "__main__":
    app()
