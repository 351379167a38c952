"""Entry point of `python -m cranberrymux.load`."""

import sys

from cranberrymux.load import main

sys.exit(main.main())
