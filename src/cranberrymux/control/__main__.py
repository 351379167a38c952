"""Runs `cranberrymux-control` by `python -m cranberrymux.control`."""

import sys

from cranberrymux.control import main

if __name__ == "__main__":
    sys.exit(main.main())
