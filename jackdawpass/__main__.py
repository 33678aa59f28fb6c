"""Entry point of ``python -m jackdawpass``."""

import sys

from jackdawpass import cli

if __name__ == "__main__":
    sys.exit(cli.main())
