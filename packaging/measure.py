"""Measures the one-file program: size, start, memory, and the process table while it serves."""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

STARTS = 10
READY_TIMEOUT_S = 30.0

SETTINGS = {
    "entry_id": "measured",
    "region": "r",
    "availability_zone": "z",
    "caller": {"port": 0},
    "operator": {"port": 0, "key": "k"},
    "peer": {"port": 0},
}


def start_s(program: list[str], environment: dict[str, str]) -> float:
    """Return the time of one start that prints the version."""
    begin_s = time.perf_counter()
    subprocess.run([*program, "version"], env=environment, check=True, capture_output=True)
    return time.perf_counter() - begin_s


def serve(program: list[str], environment: dict[str, str], folder: Path) -> None:
    """Run the daemon and print what the process table shows of it."""
    settings = folder / "settings.json"
    settings.write_text(json.dumps(SETTINGS))
    begin_s = time.perf_counter()
    daemon = subprocess.Popen(
        [*program, "serve", "--settings", str(settings)],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert daemon.stdout is not None
        daemon.stdout.readline()
        print(f"serve: listening after {time.perf_counter() - begin_s:.2f} s")
        time.sleep(2)
        process = psutil.Process(daemon.pid)
        print(f"serve: started as process {daemon.pid}, runs {process.exe()}")
        print(f"serve: parent is this script: {process.ppid() == os.getpid()}")
        print(f"serve: children {process.children(recursive=True)}")
        print(f"serve: threads {process.num_threads()}")
        print(f"serve: resident {process.memory_info().rss / 1e6:.0f} MB")
    finally:
        daemon.terminate()
        print(f"serve: exit code {daemon.wait(READY_TIMEOUT_S)}")


def main(program: list[str]) -> None:
    """Print every measurement of one program."""
    print(f"program: {' '.join(program)}, {Path(program[0]).stat().st_size / 1e6:.1f} MB")
    with tempfile.TemporaryDirectory() as name:
        environment = {**os.environ, "GODWITPATH_UNPACK_DIR": name}
        print(f"first start: {start_s(program, environment):.2f} s")
        later = [start_s(program, environment) for _ in range(STARTS)]
        print(f"later starts: median {statistics.median(later):.2f} s, worst {max(later):.2f} s")
        unpacked = sum(file.lstat().st_size for file in Path(name).rglob("*") if file.is_file())
        print(f"unpacked: {unpacked / 1e6:.1f} MB")
        serve(program, environment, Path(name))


if __name__ == "__main__":
    main(sys.argv[1:])
