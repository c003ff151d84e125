"""Runs a daemon with the settings that the platform wrote: `python3 -m godwitpath.gateway`.

The command line stays out of this start, since every restart after a failure pays for its imports.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run until told to stop; returns the exit status."""
    # The settings are read after the imports, so that news of changed ones may be missed until
    # then, but must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio

    from godwitpath.errors import GodwitpathError
    from godwitpath.gateway.daemon import run_gateway
    from godwitpath.platform.settings import decode_settings, settings_path

    path = settings_path()
    try:
        settings = decode_settings(path.read_bytes(), str(path))
    except (OSError, GodwitpathError) as error:
        print(f"godwitpath: {error}", file=sys.stderr)
        return 2
    asyncio.run(run_gateway(settings, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
