"""Runs the stand-in backend server."""

import sys

from cranberrymux.standin import main

sys.exit(main.main())
