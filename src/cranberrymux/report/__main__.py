"""Runs `cranberrymux-report` as `python -m cranberrymux.report`."""

import sys

from cranberrymux.report import main

sys.exit(main.main())
