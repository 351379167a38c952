"""Entry point of the node that runs beside a backend server."""

import importlib
import signal
import sys

from cranberrymux.platform import unused_libraries


def main() -> int:
    """Runs a node until a signal ends it; returns the exit code."""
    # Until the program handles it; its imports take up to a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    unused_libraries.exclude()
    program = importlib.import_module("cranberrymux.platform.node_program")
    exit_code: int = program.main()
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
