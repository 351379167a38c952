"""Startup of both programs with missing or invalid settings.

Guards against a traceback, a hang or a wrong exit code when the settings file
is missing, incomplete or meant for the other program. An operator must be able
to tell from one line what is wrong.
"""

import os
import subprocess
import sys

import pytest

EXIT_SETTINGS = 2
NODE = "cranberrymux.platform.node_main"
CONTROL = "cranberrymux.platform.control_main"
# Settings of an instance with a backend server: a service and no disk.
FOR_NODE = """
[self]
node = "n"
ip = "127.0.0.1"
zone = "z"
region = "r"
service = "s"
app_addr = "127.0.0.1:9"
bootstrap = true
[network]
internal_ports = [9, 9]
seeds = ["127.0.0.1:9"]
[network.listen]
control = "127.0.0.1:9"
[provider]
beat_interval = "1s"
[terms.fault_tolerance]
machines = 1
"""
# Settings of an instance with a disk.
FOR_CONTROL = FOR_NODE.replace('service = "s"', 'data_dir = "d"').replace(
    'app_addr = "127.0.0.1:9"\n', ""
)
CASES = {
    "node without a file": (NODE, None, "file"),
    "control without a file": (CONTROL, None, "file"),
    "node with a file cut short": (NODE, FOR_NODE[:60], ""),
    "control with a file cut short": (CONTROL, FOR_CONTROL[:60], ""),
    "node where control belongs": (NODE, FOR_CONTROL, ""),
    "control where a node belongs": (CONTROL, FOR_NODE, "data_dir"),
}


@pytest.mark.parametrize("case", CASES)
def test_invalid_settings_exit_with_one_error_line(case, tmp_path):
    module, text, expected = CASES[case]
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", module],
        env={**os.environ, "CRANBERRYMUX_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert completed.returncode == EXIT_SETTINGS
    assert len(completed.stderr.splitlines()) == 1
    assert expected in completed.stderr
    assert completed.stdout == ""
