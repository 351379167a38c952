"""The story of a request, with lines missing, cut and of other requests."""

import json

import pytest

from cranberrymux.cli import main
from cranberrymux.trace import log_line
from cranberrymux.trace import story as story_module


def line(second, node, event, **fields):
    values = {"time": f"2026-12-03T10:00:{second:09.6f}Z", "event": event}
    return json.dumps({**values, "node": node, **fields})


GOLDEN = [
    line(1.0, "n-1", "node-ready"),
    line(4.0, "n-2", "pressure", share=0.3),
    line(4.5, "n-3", "pressure", share=0.2),
    line(5.0, "n-2", "request-refused-here", request_id="r1.c2", reason="full"),
    line(
        5.1, "n-1", "request-ended", request_id="r1.c2", reason="refused",
        tried=["n-2", "n-4"],
    ),
    line(
        5.2, "n-0", "request-ended", request_id="r1", reason="lost",
        tried=["n-1"],
    ),
    line(5.3, "n-0", "request-ended", request_id="r10", reason="shed"),
]  # fmt: skip


def read(rows):
    found = [log_line.parse(row, "file") for row in rows]
    return [one for one in found if one is not None]


def test_tells_a_request_and_its_calls_in_order():
    story = story_module.tell("r1", read(reversed(GOLDEN)))
    assert [(one.node, one.event) for one in story.lines] == [
        ("n-2", "request-refused-here"),
        ("n-1", "request-ended"),
        ("n-0", "request-ended"),
    ]
    assert [one.node for one in story.states] == ["n-2"]


def test_says_whose_logs_are_missing():
    story = story_module.tell("r1", read(GOLDEN))
    assert story.missing == ("n-4 was asked, and none of its logs are here",)


def test_says_that_the_end_is_missing():
    story = story_module.tell("r1", read(GOLDEN[:4]))
    assert "no line tells how it ended where it began" in story.missing


def test_says_that_lines_were_left_out():
    rows = [*GOLDEN, line(6.0, "n-2", "lines-lost", count=7)]
    story = story_module.tell("r1", read(rows))
    assert any("n-2 left lines out" in one for one in story.missing)


@pytest.mark.parametrize(
    "row", ["", "{", GOLDEN[3][:-9], '{"event": "x"}', "[1]", '{"time": 5}']
)
def test_passes_over_what_is_no_line(row):
    assert log_line.parse(row, "file") is None


def test_reads_lines_behind_the_marks_of_a_collector():
    found = log_line.parse(f"  5.2 machine-1 {GOLDEN[4]}", "file")
    assert found.node == "n-1"


def test_prints_the_story(tmp_path, capsys):
    path = tmp_path / "n.log"
    path.write_text("\n".join([*GOLDEN, "cut off he"]))
    assert main.main(["trace", "r1", str(path)]) == 0
    shown = capsys.readouterr().out
    assert "reason=full" in shown
    assert "1 lines are cut or no log lines" in shown
    assert main.main(["trace", "r2", str(path)]) == 8
    assert main.main(["trace", "r1", str(tmp_path / "absent")]) == 2
