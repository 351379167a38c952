"""Runs `cranberrymux-node` by `python -m cranberrymux.node`."""

import sys

from cranberrymux.node import main

sys.exit(main.main())
