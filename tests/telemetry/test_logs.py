"""JSON log lines: fields, secrets, repeats and event names.

Guards against secrets and bodies in the log, a log that floods during an
overload, a closed stream that stops the program, and events that operators
cannot look up because docs/LOGS.md does not list them.
"""

import ast
import io
import json
import pathlib

import pytest
import structlog
from twisted import logger as twisted_logger
from twisted.python import failure

from cranberrymux.telemetry import event
from cranberrymux.telemetry import logs
from cranberrymux.telemetry import redaction
from cranberrymux.telemetry import repeat_limiter
from cranberrymux.telemetry import twisted_log_observer


@pytest.fixture
def lines():
    stream = io.StringIO()
    logs.configure("test", stream)
    yield lambda: [json.loads(text) for text in stream.getvalue().splitlines()]
    structlog.reset_defaults()


def test_line_has_time_event_binary_and_level(lines):
    structlog.get_logger().info(event.Event.NODE_READY, port=1)
    (line,) = lines()
    assert line.pop("time").endswith("Z")
    assert line == {
        "event": "node-ready",
        "binary": "test",
        "level": "info",
        "port": 1,
    }


def test_secrets_and_bodies_are_redacted_at_any_depth(lines):
    structlog.get_logger().info(
        event.Event.FAULT,
        cluster_key="s3cret",
        token="s3cret",
        body="s3cret",
        headers={"Cranberrymux-Key": "s3cret", "Authorization": "s3cret"},
        calls=[{"password": "s3cret"}],
        data=b"s3cret",
        token_file="/x",
        body_bytes=6,
        long="x" * 5000,
    )
    (line,) = lines()
    assert "s3cret" not in json.dumps(line)
    assert line["headers"]["Cranberrymux-Key"] == redaction.REDACTED
    assert (line["token_file"], line["body_bytes"]) == ("/x", 6)
    assert line["data"] == "6 bytes"
    assert len(line["long"]) < 2010


def test_logging_to_a_closed_stream_does_not_raise():
    stream = io.StringIO()
    logs.configure("test", stream)
    stream.close()
    structlog.get_logger().info(event.Event.FAULT)
    structlog.reset_defaults()


def test_twisted_errors_are_logged_and_infos_are_not(lines):
    fault = failure.Failure(ValueError("broken"))
    twisted_log_observer.observe(
        {"log_level": twisted_logger.LogLevel.info, "log_format": "quiet"}
    )
    twisted_log_observer.observe(
        {
            "log_level": twisted_logger.LogLevel.critical,
            "log_format": "Unhandled",
            "log_failure": fault,
        }
    )
    (line,) = lines()
    assert (line["event"], line["error"]) == ("library-fault", "broken")


def _limit(limiter, name, **fields):
    try:
        return limiter(None, "info", {"event": name, **fields})
    except structlog.DropEvent:
        return None


def test_repeats_are_dropped_and_counted_in_the_next_window():
    now_s = [0.0]
    limiter = repeat_limiter.RepeatLimiter(lambda: now_s[0], 2, 10.0)
    passed = [_limit(limiter, "a") for _ in range(5)]
    assert [line is not None for line in passed] == [True, True] + [False] * 3
    assert _limit(limiter, "b") is not None
    assert _limit(limiter, "a", reason="other") is not None
    now_s[0] = 9.9
    assert _limit(limiter, "a") is None
    now_s[0] = 10.0
    assert _limit(limiter, "a")["repeats_dropped"] == 4
    assert "repeats_dropped" not in _limit(limiter, "a")


def test_oldest_series_is_forgotten_above_the_limit(monkeypatch):
    monkeypatch.setattr(repeat_limiter, "MAXIMUM_SERIES", 3)
    limiter = repeat_limiter.RepeatLimiter(lambda: 0.0, 1, 10.0)
    assert all(_limit(limiter, str(number)) for number in range(50))
    assert _limit(limiter, "49") is None
    assert _limit(limiter, "0") is not None


def test_docs_list_every_event_once():
    page = pathlib.Path("docs/LOGS.md").read_text(encoding="utf-8")
    for member in event.Event:
        assert page.count(f"| `{member.value}` |") == 1, member


def _find_logged_events(path):
    methods = {"debug", "info", "warning", "error", "critical"}
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        if not isinstance(node.func, ast.Attribute):
            continue
        if ast.unparse(node.func.value) == "parser":
            continue
        first = node.args[0]
        if node.func.attr in methods and isinstance(first, ast.Constant):
            yield first.value


def test_sources_log_only_events_of_the_enum():
    known = {member.value for member in event.Event}
    unknown = {
        (str(path), text)
        for path in pathlib.Path("src").rglob("*.py")
        for text in _find_logged_events(path)
        if text not in known
    }
    assert not unknown, "add them to telemetry/event.py and docs/LOGS.md"
