"""Runs a daemon with the settings file of the platform: `python3 -m godwitpath.gateway`.

This entry point does not import the command line, because its imports would slow down every restart
after a failure.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the daemon until it receives a stop signal.

    :returns: the exit status
    """
    # SIGHUP announces changed settings and would end the process by default. It can be ignored
    # during the imports, because the settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio
    import gc

    from godwitpath.errors import GodwitpathError
    from godwitpath.gateway.daemon import run_gateway
    from godwitpath.gateway.loop_delay import TurnTimer
    from godwitpath.gateway.memory import return_large_blocks
    from godwitpath.platform.settings import decode_settings, settings_path

    path = settings_path()
    try:
        settings = decode_settings(path.read_bytes(), str(path))
    except (OSError, GodwitpathError) as error:
        print(f"godwitpath: {error}", file=sys.stderr)
        return 2
    return_large_blocks()
    turns = TurnTimer()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
        runner.run(run_gateway(settings, path, turns))
    # The interpreter's last garbage collections, of all objects, would delay the exit, and the
    # grace period of a planned stop may end within them.
    gc.freeze()
    return 0


if __name__ == "__main__":
    sys.exit(main())
