"""Runs the `cranberrymux` command line as `python -m cranberrymux.cli`."""

import sys

from cranberrymux.cli import main

if __name__ == "__main__":
    sys.exit(main.main())
