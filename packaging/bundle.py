"""Appends the archived program directory to the launcher to make the one-file program."""

from __future__ import annotations

import hashlib
import io
import sys
import tarfile
from pathlib import Path

# Widths of the trailer fields; launcher.c reads the same widths.
DIGEST_CHARS = 32
SIZE_CHARS = 16


def build_archive(directory: Path) -> bytes:
    """Return the directory as a ustar archive; equal files give equal bytes."""
    buffer = io.BytesIO()
    with tarfile.open(fileobj=buffer, mode="w", format=tarfile.USTAR_FORMAT) as tar:
        for path in sorted(directory.rglob("*")):
            tar.add(
                path,
                str(path.relative_to(directory)),
                recursive=False,
                filter=_clear_time_and_owner,
            )
    return buffer.getvalue()


def _clear_time_and_owner(member: tarfile.TarInfo) -> tarfile.TarInfo:
    member.mtime = 0
    member.uid = member.gid = 0
    member.uname = member.gname = ""
    return member


def main(launcher: Path, directory: Path, target: Path) -> None:
    """Write the launcher, the archive, its digest and its size to the target file."""
    archive = build_archive(directory)
    digest = hashlib.sha256(archive).hexdigest()[:DIGEST_CHARS]
    size = str(len(archive)).ljust(SIZE_CHARS)
    target.write_bytes(launcher.read_bytes() + archive + digest.encode() + size.encode())
    target.chmod(0o755)


if __name__ == "__main__":
    main(*map(Path, sys.argv[1:]))
