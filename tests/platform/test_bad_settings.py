"""Programs that are started with settings that do not fit them."""

import os
import subprocess
import sys

import pytest

EXIT_SETTINGS = 2
NODE = "cranberrymux.platform.node_main"
CONTROL = "cranberrymux.platform.control_main"
# As an instance beside a backend server gets them: no disk, a service.
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
# As an instance with a disk gets them.
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
def test_ends_with_one_clear_line(case, tmp_path):
    module, text, named = CASES[case]
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    ended = subprocess.run(
        [sys.executable, "-m", module],
        env={**os.environ, "CRANBERRYMUX_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == EXIT_SETTINGS
    assert len(ended.stderr.splitlines()) == 1
    assert named in ended.stderr
    assert ended.stdout == ""
