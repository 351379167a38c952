"""Tells the story of a deployment; ends with 1 if an expectation fails."""

import sys

from cranberrymux.demo import story

sys.exit(story.run())
