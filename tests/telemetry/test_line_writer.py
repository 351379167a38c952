"""Log output to a pipe whose reader is slow or gone.

Guards against a program that blocks because the reader of its log has stopped,
and against truncated lines or uncounted losses once the reader goes on.
"""

import os
import time

from cranberrymux.telemetry import line_writer


def make_pipe():
    reading, writing = os.pipe()
    return reading, os.fdopen(writing, "w")


def test_stopped_reader_loses_counted_lines_without_blocking():
    reading, stream = make_pipe()
    writer = line_writer.LineWriter(stream)
    start_s = time.monotonic()
    for number in range(5000):
        writer.msg(f'{{"line": {number}, "text": "{"x" * 100}"}}')
    assert time.monotonic() - start_s < 2.0
    first = os.read(reading, 1 << 20)
    writer.msg('{"line": "after"}')
    rest = os.read(reading, 1 << 20)
    lines = (first + rest).decode().splitlines()
    assert all(line.startswith("{") and line.endswith("}") for line in lines)
    assert lines[-1] == '{"line": "after"}'
    lost = [line for line in lines if "lines-lost" in line]
    assert len(lost) == 1
    count = int(lost[0].split('"count": ')[1].rstrip("}"))
    assert len(lines) - 2 + count == 5000


def test_write_to_a_pipe_without_reader_does_not_raise():
    reading, stream = make_pipe()
    writer = line_writer.LineWriter(stream)
    os.close(reading)
    for _ in range(10):
        writer.msg("{}")


def test_file_gets_the_line_unchanged(tmp_path):
    with open(tmp_path / "log", "w") as stream:
        writer = line_writer.LineWriter(stream)
        writer.msg("one")
        assert (tmp_path / "log").read_text() == "one\n"
