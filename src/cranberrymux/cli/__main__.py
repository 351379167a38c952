"""Runs the operators' command line."""

import sys

from cranberrymux.cli import main

if __name__ == "__main__":
    sys.exit(main.main())
