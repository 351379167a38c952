"""Installs the faults in the process of a control instance or a node."""

import os
import pathlib
import tomllib

from tests.soak.configuration import disk_faults
from tests.soak.configuration import link_faults
from tests.soak.configuration import markers as markers_module

# Code that a process runs before its program.
CONTROL_CODE = (
    "from tests.soak.configuration import process_faults\n"
    "process_faults.install_in_control()\n"
)
NODE_CODE = (
    "import sys\n"
    "from tests.soak.configuration import process_faults\n"
    "process_faults.install_links()\n"
    "from cranberrymux.platform import node_main\n"
    "sys.exit(node_main.main())\n"
)


def install_in_control():
    """Installs the faults of disk, clock and links."""
    disk_faults.DiskFaults(_get_markers()).install()
    install_links()


def install_links():
    """Installs the faults of links only."""
    settings = tomllib.loads(_get_settings().read_text())
    link_faults.LinkFaults(_get_markers(), settings["self"]["ip"]).install()


def _get_settings():
    return pathlib.Path(os.environ["CRANBERRYMUX_SETTINGS"])


def _get_markers():
    return markers_module.Markers(_get_settings())
