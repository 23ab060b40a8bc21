"""Entry point of `python -m loftrelay`; the commands are in `loftrelay.cli`."""

from __future__ import annotations

import sys

from loftrelay.cli.main import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
