"""Entry point of `python -m godwitpath`: runs the command line."""

from __future__ import annotations

from godwitpath.commands import main

if __name__ == "__main__":
    main()
