"""Writes the report on service-level burn."""

import sys

from cranberrymux.report import main

sys.exit(main.main())
