"""Traces of one request, put together from the logs of several nodes.

Guards against traces with lines of other requests or in the wrong order, and
against gaps that are not reported: a node whose log was not given, lines that
were dropped or truncated, and a request without an end.
"""

import json

import pytest

from cranberrymux.cli import main
from cranberrymux.trace import log_line
from cranberrymux.trace import request_trace


def make_line(second, node, event, **fields):
    values = {"time": f"2026-12-03T10:00:{second:09.6f}Z", "event": event}
    return json.dumps({**values, "node": node, **fields})


ROWS = [
    make_line(1.0, "n-1", "node-ready"),
    make_line(4.0, "n-2", "pressure", share=0.3),
    make_line(4.5, "n-3", "pressure", share=0.2),
    make_line(
        5.0, "n-2", "request-refused-here", request_id="r1.c2", reason="full",
    ),
    make_line(
        5.1, "n-1", "request-ended", request_id="r1.c2", reason="refused",
        tried=["n-2", "n-4"],
    ),
    make_line(
        5.2, "n-0", "request-ended", request_id="r1", reason="lost",
        tried=["n-1"],
    ),
    make_line(5.3, "n-0", "request-ended", request_id="r10", reason="shed"),
]  # fmt: skip


def parse_rows(rows):
    lines = [log_line.parse(row, "file") for row in rows]
    return [line for line in lines if line is not None]


def test_request_and_its_calls_are_in_order_of_time():
    trace = request_trace.collect("r1", parse_rows(reversed(ROWS)))
    assert [(line.node, line.event) for line in trace.lines] == [
        ("n-2", "request-refused-here"),
        ("n-1", "request-ended"),
        ("n-0", "request-ended"),
    ]
    assert [line.node for line in trace.states] == ["n-2"]


def test_tried_node_without_log_lines_is_reported_missing():
    trace = request_trace.collect("r1", parse_rows(ROWS))
    assert trace.missing == (
        "n-4 was tried, but none of its log lines were given",
    )


def test_request_without_end_is_reported():
    trace = request_trace.collect("r1", parse_rows(ROWS[:4]))
    assert (
        "no request-ended line was found, so the result is unknown"
        in trace.missing
    )


def test_dropped_log_lines_are_reported():
    rows = [*ROWS, make_line(6.0, "n-2", "lines-lost", count=7)]
    trace = request_trace.collect("r1", parse_rows(rows))
    assert any("n-2 dropped log lines" in text for text in trace.missing)


@pytest.mark.parametrize(
    "row", ["", "{", ROWS[3][:-9], '{"event": "x"}', "[1]", '{"time": 5}']
)
def test_text_that_is_no_log_line_is_skipped(row):
    assert log_line.parse(row, "file") is None


def test_prefix_of_a_log_collector_is_ignored():
    found = log_line.parse(f"  5.2 machine-1 {ROWS[4]}", "file")
    assert found.node == "n-1"


def test_command_prints_the_trace_and_exits_by_result(tmp_path, capsys):
    path = tmp_path / "n.log"
    path.write_text("\n".join([*ROWS, "cut off he"]))
    assert main.main(["trace", "r1", str(path)]) == 0
    shown = capsys.readouterr().out
    assert "reason=full" in shown
    assert "1 lines are cut or no log lines" in shown
    assert main.main(["trace", "r2", str(path)]) == 8
    assert main.main(["trace", "r1", str(tmp_path / "absent")]) == 2
