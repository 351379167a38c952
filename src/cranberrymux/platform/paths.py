"""Paths of the platform's own calls."""

READY = b"/cranberrymux/ready"
CONFIGURATION = b"/cranberrymux/config"
# Followed by the id of a backend server, not of an instance in our sense.
INSTANCES_PREFIX = b"/cranberrymux/instances/"
