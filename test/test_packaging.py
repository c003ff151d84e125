"""The launcher of the one-file program: in place, once, and never out of a foreign directory."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
COMPILER = shutil.which("cc") or shutil.which("gcc")

pytestmark = pytest.mark.skipif(COMPILER is None, reason="the launcher needs a C compiler")


@pytest.fixture
def program(tmp_path: Path) -> Path:
    """Return a one-file program whose folder holds a script in place of the real program."""
    folder = tmp_path / "folder"
    (folder / "sub").mkdir(parents=True)
    (folder / "sub" / "data").write_bytes(b"x" * 1000)
    (folder / "link").symlink_to("sub/data")
    script = folder / "godwitpath"
    script.write_text('#!/bin/sh\necho $$ "$@"\nwc -c < "$(dirname "$0")/link"\n')
    script.chmod(0o755)
    launcher = tmp_path / "launcher"
    assert COMPILER is not None
    source = str(ROOT / "packaging/launcher.c")
    subprocess.run([COMPILER, "-Wall", "-Wextra", "-Werror", "-o", launcher, source], check=True)
    target = tmp_path / "godwitpath"
    bundle = str(ROOT / "packaging/bundle.py")
    subprocess.run([sys.executable, bundle, launcher, folder, target], check=True)
    return target


def start(program: Path, root: Path, *arguments: str) -> subprocess.Popen[str]:
    root.mkdir(exist_ok=True)
    environment = {**os.environ, "GODWITPATH_UNPACK_DIR": str(root)}
    return subprocess.Popen(
        [str(program), *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_the_program_keeps_the_process_and_its_arguments(program: Path, tmp_path: Path) -> None:
    for _ in range(2):
        process = start(program, tmp_path / "root", "config", "a b")
        output, _ = process.communicate()
        assert output.split() == [str(process.pid), "config", "a", "b", "1000"]
    assert len(list((tmp_path / "root").iterdir())) == 1


def test_several_that_unpack_at_once_leave_one_directory(program: Path, tmp_path: Path) -> None:
    processes = [start(program, tmp_path / "root") for _ in range(6)]
    assert [process.communicate()[0].split()[1] for process in processes] == ["1000"] * 6
    assert len(list((tmp_path / "root").iterdir())) == 1


def test_a_directory_that_others_may_write_is_refused(program: Path, tmp_path: Path) -> None:
    start(program, tmp_path / "root").communicate()
    [directory] = (tmp_path / "root").iterdir()
    directory.chmod(0o777)
    process = start(program, tmp_path / "root")
    output, error = process.communicate()
    assert (process.returncode, output) == (1, "")
    assert "cannot trust" in error
