"""Paths of the platform's HTTP calls."""

READY = b"/cranberrymux/ready"
CONFIGURATION = b"/cranberrymux/config"
# Followed by the id of a backend server, not of an instance.
INSTANCES_PREFIX = b"/cranberrymux/instances/"
