"""Command line of the experiments; each command is in a module of its own name."""

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
    peer_bytes,
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
    """Run experiments that compare the product with baselines and measure its cost."""


control.register(app)
capacity.register(app)
execution.register(app)
explain.register(app)
gossip.register(app)
overload.register(app)
path.register(app)
peer_bytes.register(app)
reclaim.register(app)
records.register(app)
retries.register(app)
rollout.register(app)
routing.register(app)
shares.register(app)
subsets.register(app)

if __name__ == "__main__":
    app()
