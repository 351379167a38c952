"""Marks the tests that KNOWN-RED.txt lists as expected to fail.

A test that is listed is still run; its failure does not fail the suite.
"""

import pathlib

import pytest

_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test:"


def read_node_ids():
    if not _PATH.exists():
        return set()
    return {
        line.removeprefix(_TEST_PREFIX).strip()
        for line in _PATH.read_text(encoding="utf-8").splitlines()
        if line.startswith(_TEST_PREFIX)
    }


def mark_expected_failures(items):
    expected_failures = read_node_ids()
    for item in items:
        if item.nodeid in expected_failures:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def print_node_ids(terminalreporter):
    for node_id in sorted(read_node_ids()):
        terminalreporter.write_line(f"known red, passed over: {node_id}")
