"""Paths of the platform's HTTP calls."""

READY = b"/cranberrymux/ready"
CONFIGURATION = b"/cranberrymux/config"
# The same path as on the port of `control.operator_api`.
ACCOUNTS = b"/v1/accounts"
# Followed by the id of a backend server, not of an instance.
INSTANCES_PREFIX = b"/cranberrymux/instances/"
