"""Guards against a launcher that changes the process ID or loses arguments.

Also guards against several unpacked copies, left by processes that start at the same time, and
against running code from a directory that other users may write.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
COMPILER = shutil.which("cc") or shutil.which("gcc")

pytestmark = pytest.mark.skipif(COMPILER is None, reason="building the launcher needs a C compiler")


@pytest.fixture
def program(tmp_path: Path) -> Path:
    """Return a one-file program that contains a shell script in place of the real program."""
    directory = tmp_path / "folder"
    (directory / "sub").mkdir(parents=True)
    (directory / "sub" / "data").write_bytes(b"x" * 1000)
    (directory / "link").symlink_to("sub/data")
    script = directory / "godwitpath"
    script.write_text('#!/bin/sh\necho $$ "$@"\nwc -c < "$(dirname "$0")/link"\n')
    script.chmod(0o755)
    launcher = tmp_path / "launcher"
    assert COMPILER is not None
    launcher_source = str(ROOT / "packaging/launcher.c")
    subprocess.run(
        [COMPILER, "-Wall", "-Wextra", "-Werror", "-o", launcher, launcher_source], check=True
    )
    bundled_program = tmp_path / "godwitpath"
    bundle_script = str(ROOT / "packaging/bundle.py")
    subprocess.run(
        [sys.executable, bundle_script, launcher, directory, bundled_program], check=True
    )
    return bundled_program


def start(program: Path, unpack_root: Path, *arguments: str) -> subprocess.Popen[str]:
    unpack_root.mkdir(exist_ok=True)
    environment = {**os.environ, "GODWITPATH_UNPACK_DIR": str(unpack_root)}
    return subprocess.Popen(
        [str(program), *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_launcher_keeps_process_id_and_arguments(program: Path, tmp_path: Path) -> None:
    for _ in range(2):
        process = start(program, tmp_path / "root", "config", "a b")
        output, _ = process.communicate()
        assert output.split() == [str(process.pid), "config", "a", "b", "1000"]
    assert len(list((tmp_path / "root").iterdir())) == 1


def test_concurrent_starts_leave_one_directory(program: Path, tmp_path: Path) -> None:
    processes = [start(program, tmp_path / "root") for _ in range(6)]
    assert [process.communicate()[0].split()[1] for process in processes] == ["1000"] * 6
    assert len(list((tmp_path / "root").iterdir())) == 1


def test_directory_writable_by_others_is_refused(program: Path, tmp_path: Path) -> None:
    start(program, tmp_path / "root").communicate()
    [directory] = (tmp_path / "root").iterdir()
    directory.chmod(0o777)
    process = start(program, tmp_path / "root")
    output, error = process.communicate()
    assert (process.returncode, output) == (1, "")
    assert "cannot trust" in error
