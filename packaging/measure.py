"""Measures the one-file program: size, startup time, memory, threads and child processes."""

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

LATER_STARTS = 10
EXIT_TIMEOUT_S = 30.0

SETTINGS = {
    "entry_id": "measured",
    "region": "r",
    "availability_zone": "z",
    "caller": {"port": 0},
    "operator": {"port": 0, "key": "k"},
    "peer": {"port": 0},
}


def measure_start_s(program: list[str], environment: dict[str, str]) -> float:
    """Return the wall-clock time in seconds of one `version` command."""
    started_at_s = time.perf_counter()
    subprocess.run([*program, "version"], env=environment, check=True, capture_output=True)
    return time.perf_counter() - started_at_s


def measure_daemon(program: list[str], environment: dict[str, str], directory: Path) -> None:
    """Run the daemon and print its startup time, process identity, threads and memory."""
    settings = directory / "settings.json"
    settings.write_text(json.dumps(SETTINGS))
    started_at_s = time.perf_counter()
    daemon = subprocess.Popen(
        [*program, "serve", "--settings", str(settings)],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert daemon.stdout is not None
        daemon.stdout.readline()
        print(f"serve: listening after {time.perf_counter() - started_at_s:.2f} s")
        time.sleep(2)
        process = psutil.Process(daemon.pid)
        print(f"serve: started as process {daemon.pid}, runs {process.exe()}")
        print(f"serve: parent is this script: {process.ppid() == os.getpid()}")
        print(f"serve: children {process.children(recursive=True)}")
        print(f"serve: threads {process.num_threads()}")
        print(f"serve: resident {process.memory_info().rss / 1e6:.0f} MB")
    finally:
        daemon.terminate()
        print(f"serve: exit code {daemon.wait(EXIT_TIMEOUT_S)}")


def main(program: list[str]) -> None:
    """Print all measurements of a program.

    :param program: command line that starts the program
    """
    print(f"program: {' '.join(program)}, {Path(program[0]).stat().st_size / 1e6:.1f} MB")
    with tempfile.TemporaryDirectory() as unpack_dir:
        environment = {**os.environ, "GODWITPATH_UNPACK_DIR": unpack_dir}
        print(f"first start: {measure_start_s(program, environment):.2f} s")
        later_s = [measure_start_s(program, environment) for _ in range(LATER_STARTS)]
        print(
            f"later starts: median {statistics.median(later_s):.2f} s, worst {max(later_s):.2f} s"
        )
        unpacked_bytes = sum(
            file.lstat().st_size for file in Path(unpack_dir).rglob("*") if file.is_file()
        )
        print(f"unpacked: {unpacked_bytes / 1e6:.1f} MB")
        measure_daemon(program, environment, Path(unpack_dir))


if __name__ == "__main__":
    main(sys.argv[1:])
