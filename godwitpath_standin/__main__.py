"""Command line of the stand-ins: one module a stand-in."""

from __future__ import annotations

import typer

app = typer.Typer(name="godwitpath-standin", no_args_is_help=True)


@app.callback()
def root() -> None:
    """Stand-ins of the platform and of upstreams."""


if __name__ == "__main__":
    app()
