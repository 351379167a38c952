"""`cranberrymux explain --node`, with the answers of a node in memory.

Guards against a table that lacks what the node says or fails on some of its
answers, a traceback where the node is away or of an earlier version, and a key
on the way to the node.
"""

import email.message
import http.client
import io
import json
from urllib import parse as url_parse

import pytest

from cranberrymux.cli import main
from cranberrymux.gateway.explanation import question as question_module
from tests.gateway import explanation_scene

NODE = "10.0.0.1:1999"


class Link:
    """Answers requests for explanations by a node in memory.

    Attributes:
        asked: Request targets, in order.
        error: Raised by each exchange, if set.
        answer: Status and body that replace the node's answer, if set.
    """

    def __init__(self, scene):
        self.scene = scene
        self.port = explanation_scene.Port(scene)
        self.asked = []
        self.error = None
        self.answer = None

    def connect(self, host, port, timeout):
        assert (f"{host}:{port}", timeout) == (NODE, 5.0)
        return self

    def request(self, method, target):
        if self.error is not None:
            raise self.error
        assert method == "GET"
        self.asked.append(target)

    def getresponse(self):
        response = io.BytesIO()
        status, body = self.answer or self.port.get(self.asked[-1])
        response.write(body)
        response.seek(0)
        response.status = status
        response.headers = email.message.Message()
        return response

    def close(self):
        pass


@pytest.fixture
def link(monkeypatch):
    scene = explanation_scene.Scene()
    scene.configure()
    made = Link(scene)
    monkeypatch.setattr(http.client, "HTTPConnection", made.connect)
    monkeypatch.delenv("CRANBERRYMUX_ADDRESSES", raising=False)
    monkeypatch.delenv("CRANBERRYMUX_TOKEN_FILE", raising=False)
    return made


@pytest.fixture
def run(link, capsys):
    def run_command(*arguments):
        code = main.main(["explain", "--node", NODE, *arguments])
        printed = capsys.readouterr()
        out = [
            line
            for line in printed.out.splitlines()
            if "[info" not in line and "[warning" not in line
        ]
        return code, "\n".join(out), printed.err

    return run_command


def test_shows_the_way_of_a_request_as_a_table(link, run):
    link.scene.serve(account="mill")
    link.scene.network.run(0.1, step_s=0.01)
    code, text, error = run("--path", "/read/x", "--account", "mill")
    assert (code, error) == (0, "")
    lines = text.splitlines()
    assert lines[0] == "node        n-0 in zone z0"
    assert lines[1] == "version     1"
    assert lines[2].endswith("/read/), not public, to deep 1")
    assert lines[3].startswith("account     mill, 10 a second, burst 10, ")
    assert lines[4] == "priority    0"
    assert lines[5].startswith("admission   1.000 of its class (first, ")
    assert "needs     deep: " in text
    assert "outcome     sent to n-" in text
    assert "z0, own: share 1.000" in text
    rows = [line for line in lines if line.startswith("n-")]
    assert len(rows) == 6
    assert "  chosen: " in rows[0]
    assert all("  other-zone: " in row for row in rows if "  z1  " in row)


def test_prints_the_answer_of_the_node_as_json(link, run):
    code, text, _ = run("--path", "/open/x", "--output", "json")
    assert code == 0
    question = question_module.Question("GET", "/open/x")
    assert json.loads(text) == json.loads(
        json.dumps(link.scene.explainer.explain(question))
    )


def test_passes_each_option_on(link, run):
    run(
        *("--method", "post", "--host", "records.example"),
        *("--path", "/read/a b", "--account", "free"),
        *("--priority", "3", "--deadline-ms", "250"),
    )
    query = link.asked[-1].partition("?")[2]
    assert dict(url_parse.parse_qsl(query)) == {
        "method": "post",
        "host": "records.example",
        "path": "/read/a b",
        "account": "free",
        "priority": "3",
        "deadline_ms": "250",
    }


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["/read/x"], "outcome     refused: 401 unknown-key\n"),
        (["/none/x"], "outcome     refused: 503 no-endpoint, Retry-After "),
        (
            ["/read/x", "--account", "mill"],
            "outcome     waits up to 500 ms for a quota token; then sent to n-",
        ),
        (["/split/x", "--priority", "4"], "priority    4\n"),
        (["/open/x", "--deadline-ms", "0"], "refused: 503 expired"),
    ],
)
def test_says_what_becomes_of_a_request(run, arguments, expected):
    code, text, error = run("--path", *arguments)
    assert (code, error) == (0, "")
    assert expected in text


def test_says_that_the_node_has_no_configuration(monkeypatch, capsys):
    link = Link(explanation_scene.Scene())
    monkeypatch.setattr(http.client, "HTTPConnection", link.connect)
    assert main.main(["explain", "--node", NODE, "--path", "/x"]) == 0
    assert "refused: 503 this node has no configuration yet" in (
        capsys.readouterr().out
    )


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["--path", "/nothing"], 8, "no route has this host and a prefix"),
        (["--path", "/read/x", "--account", "x"], 8, "no account of this name"),
        (["--path", "read"], 4, "path does not begin with /"),
        (["--path", "/read/x", "--priority", "low"], 4, "priority is not a"),
        ([], 2, "expected SERVICE METHOD PATH, or --node"),
        (["deep", "GET", "/x"], 2, "expected SERVICE METHOD PATH, or --node"),
    ],
)
def test_a_question_without_an_answer_gives_one_line(
    run, arguments, code, expected
):
    answered, text, error = run(*arguments)
    assert answered == code
    assert text == ""
    assert error.count("\n") == 1
    assert expected in error


@pytest.mark.parametrize(
    ("failure", "code"),
    [
        (ConnectionRefusedError(111, "Connection refused"), 5),
        (TimeoutError("timed out"), 5),
        (http.client.RemoteDisconnected("closed without an answer"), 5),
        (http.client.BadStatusLine("x"), 5),
    ],
)
def test_a_node_that_is_away_gives_one_line(link, run, failure, code):
    link.error = failure
    answered, text, error = run("--path", "/read/x")
    assert (answered, text) == (code, "")
    assert error.startswith(f"cranberrymux: node {NODE}: ")
    assert error.count("\n") == 1


@pytest.mark.parametrize(
    "answer",
    [(404, b""), (200, b"<html>"), (200, b"[]"), (200, b"{}"), (500, b"{")],
)
def test_a_node_of_an_earlier_version_gives_one_line(link, run, answer):
    link.answer = answer
    code, text, error = run("--path", "/read/x")
    assert (code, text) == (8, "")
    assert "explains nothing at /explain" in error
    assert error.count("\n") == 1


@pytest.mark.parametrize("node", ["n-0", ":1", "h:x", "h:", "h:70000"])
def test_an_address_that_is_none_gives_exit_code_2(capsys, node):
    assert main.main(["explain", "--node", node, "--path", "/x"]) == 2
    assert "expected HOST:PORT" in capsys.readouterr().err


def test_a_key_given_as_an_account_is_not_repeated(run):
    code, text, error = run(
        "--path", "/read/x", "--account", explanation_scene.KEY
    )
    assert code == 8
    assert explanation_scene.KEY not in text + error


def test_without_a_node_the_document_is_asked(capsys):
    assert main.main(["explain", "deep"]) == 2
    assert "expected SERVICE METHOD PATH" in capsys.readouterr().err
