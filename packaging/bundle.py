"""Joins the launcher and the packed folder into the one-file program."""

from __future__ import annotations

import hashlib
import io
import sys
import tarfile
from pathlib import Path

DIGEST_CHARS = 32
SIZE_CHARS = 16


def archive(folder: Path) -> bytes:
    """Return the folder as an archive that is the same for the same files."""
    buffer = io.BytesIO()
    with tarfile.open(fileobj=buffer, mode="w", format=tarfile.USTAR_FORMAT) as tar:
        for path in sorted(folder.rglob("*")):
            tar.add(path, str(path.relative_to(folder)), recursive=False, filter=_plain)
    return buffer.getvalue()


def _plain(member: tarfile.TarInfo) -> tarfile.TarInfo:
    member.mtime = 0
    member.uid = member.gid = 0
    member.uname = member.gname = ""
    return member


def main(launcher: Path, folder: Path, target: Path) -> None:
    """Write the one-file program."""
    packed = archive(folder)
    digest = hashlib.sha256(packed).hexdigest()[:DIGEST_CHARS]
    size = str(len(packed)).ljust(SIZE_CHARS)
    target.write_bytes(launcher.read_bytes() + packed + digest.encode() + size.encode())
    target.chmod(0o755)


if __name__ == "__main__":
    main(*map(Path, sys.argv[1:]))
