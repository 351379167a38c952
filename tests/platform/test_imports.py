"""Libraries that the platform's programs do not import.

Guards against the return of imports that take memory on every node and are of
no use there: pyOpenSSL with `cryptography` took 10 MB, `twisted.web` 3.7 MB.
"""

import os
import subprocess
import sys

import pytest

UNUSED = (
    "OpenSSL",
    "cryptography",
    "hdrh",
    "klein",
    "matplotlib",
    "numpy",
    "service_identity",
    "treq",
    "twisted.spread",
    "twisted.web",
    "xml.sax",
    "yaml",
)


RUN_PROGRAM = """
import importlib, sys
importlib.import_module("cranberrymux.platform.{}_main").main()
print("imported", *(name for name, module in sys.modules.items() if module))
"""


def list_imports(program):
    """Returns the modules that a program has imported when it starts."""
    # Without settings it ends after its imports.
    ended = subprocess.run(
        [sys.executable, "-c", RUN_PROGRAM.format(program)],
        env={**os.environ, "CRANBERRYMUX_SETTINGS": "/nowhere/none.toml"},
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    return set(ended.stdout.partition("imported ")[2].split())


@pytest.mark.parametrize("program", ["node", "control"])
def test_programs_import_no_unused_library(program):
    imported = list_imports(program)
    assert f"cranberrymux.platform.{program}_program" in imported
    assert "twisted.internet.epollreactor" in imported
    assert imported.isdisjoint(UNUSED)
