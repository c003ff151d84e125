"""Starts the gateway as a process of its own."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import IO

from godwitpath.platform.settings import METRICS_VARIABLE, SETTINGS_VARIABLE
from godwitpath_standin.process import ROOT


async def start_gateway(
    settings: Path, metrics_port: int, output: int | IO[bytes], errors: IO[bytes] | None = None
) -> asyncio.subprocess.Process:
    """Start a daemon from the checkout.

    :param settings: its settings file
    :param output: where its log lines go, as `subprocess` takes it
    :param errors: where its error output goes, None for this process's
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "godwitpath.gateway",
        cwd=ROOT,
        env={
            **os.environ,
            "PYTHONPATH": str(ROOT),
            SETTINGS_VARIABLE: str(settings),
            METRICS_VARIABLE: str(metrics_port),
        },
        stdin=asyncio.subprocess.DEVNULL,
        stdout=output,
        stderr=errors,
    )
