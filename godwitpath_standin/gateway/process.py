"""Starts a daemon of the gateway as a separate process."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import IO

from godwitpath.platform.settings import METRICS_VARIABLE, SETTINGS_VARIABLE
from godwitpath_standin.process import ROOT


async def start_gateway(
    settings: Path,
    metrics_port: int,
    output: int | IO[bytes],
    errors: IO[bytes] | None = None,
    *,
    checkout: Path = ROOT,
) -> asyncio.subprocess.Process:
    """Start a daemon.

    :param settings: settings file of the daemon
    :param metrics_port: port of the metrics page
    :param output: standard output with the log lines, in a form that `subprocess` accepts
    :param errors: standard error, None to inherit that of this process
    :param checkout: root of the checkout whose build the daemon runs
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "godwitpath.gateway",
        cwd=checkout,
        env={
            **os.environ,
            "PYTHONPATH": str(checkout),
            SETTINGS_VARIABLE: str(settings),
            METRICS_VARIABLE: str(metrics_port),
        },
        stdin=asyncio.subprocess.DEVNULL,
        stdout=output,
        stderr=errors,
    )
