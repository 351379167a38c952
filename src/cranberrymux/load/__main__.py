"""Runs the load generator."""

import sys

from cranberrymux.load import main

sys.exit(main.main())
