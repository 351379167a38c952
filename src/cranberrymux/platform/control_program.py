"""A control instance with the settings of the platform."""

import sys

from cranberrymux import exceptions
from cranberrymux.control import program
from cranberrymux.platform import control_port
from cranberrymux.platform import settings_file
from cranberrymux.telemetry import logs

EXIT_SETTINGS = 2


def main() -> int:
    """Runs a control instance until a signal ends it; returns the exit code."""
    try:
        settings = settings_file.make_control_settings(settings_file.read())
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure("cranberrymux-control", node=settings.control_id)
    port = control_port.ControlPort()
    return program.Program(settings, settings_file.CLUSTER_KEY, port).run()
