"""A reader of the logs that stops, comes back, or goes."""

import os
import time

from cranberrymux.telemetry import line_writer


def make_pipe():
    reading, writing = os.pipe()
    return reading, os.fdopen(writing, "w")


def test_a_reader_that_stops_costs_lines_and_no_time():
    reading, stream = make_pipe()
    writer = line_writer.LineWriter(stream)
    began_s = time.monotonic()
    for number in range(5000):
        writer.msg(f'{{"line": {number}, "text": "{"x" * 100}"}}')
    assert time.monotonic() - began_s < 2.0
    taken = os.read(reading, 1 << 20)
    writer.msg('{"line": "after"}')
    rest = os.read(reading, 1 << 20)
    lines = (taken + rest).decode().splitlines()
    assert all(line.startswith("{") and line.endswith("}") for line in lines)
    assert lines[-1] == '{"line": "after"}'
    lost = [one for one in lines if "lines-lost" in one]
    assert len(lost) == 1
    count = int(lost[0].split('"count": ')[1].rstrip("}"))
    assert len(lines) - 2 + count == 5000


def test_a_reader_that_goes_harms_nothing():
    reading, stream = make_pipe()
    writer = line_writer.LineWriter(stream)
    os.close(reading)
    for _ in range(10):
        writer.msg("{}")


def test_writes_to_a_file_as_it_is(tmp_path):
    with open(tmp_path / "log", "w") as stream:
        writer = line_writer.LineWriter(stream)
        writer.msg("one")
        assert (tmp_path / "log").read_text() == "one\n"
