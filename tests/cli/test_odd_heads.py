"""Answers of a process in trouble, as operators' commands read them.

Guards against a command that takes such an answer, though another instance
would give a sound one.
"""

import contextlib
import json
import os
import socket
import subprocess
import sys
import threading

import pytest

from cranberrymux.cli import node_explanation

BODY = json.dumps({"is_owner": True, "leader": "a", "accounts": []}).encode()
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)


@contextlib.contextmanager
def serve(answer):
    """Answers the next connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(answer)

        threading.Thread(target=run, daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


ODD_HEADS = [
    SOUND.replace(b"200", b"000"),
    SOUND.replace(b"200", b"099"),
    SOUND.replace(b"OK\r\n", b"OK\r\nX Y: z\r\n"),
    SOUND.replace(b"OK\r\n", b"OK\r\nX\x01: z\r\n"),
    SOUND.replace(b"Length:", b"Length :"),
]


@pytest.mark.parametrize("odd", ODD_HEADS)
def test_another_instance_is_asked_after_an_answer_with_an_odd_head(
    odd, tmp_path
):
    token = tmp_path / "token"
    token.write_text("a token of operators")
    with serve(odd + BODY) as first, serve(SOUND + BODY) as second:
        completed = subprocess.run(
            [sys.executable, "-m", "cranberrymux.cli", "accounts"],
            capture_output=True,
            text=True,
            env={
                **os.environ,
                "CRANBERRYMUX_ADDRESSES": f"{first},{second}",
                "CRANBERRYMUX_TOKEN_FILE": str(token),
            },
            timeout=20,
            check=False,
        )
    assert completed.returncode == 0, completed.stderr


@pytest.mark.parametrize("odd", ODD_HEADS)
def test_explanation_with_an_odd_head_is_none(odd):
    body = b'{"outcome": "sent"}'
    with serve(odd.replace(b"%d" % len(BODY), b"%d" % len(body)) + body) as at:
        explained = node_explanation.fetch(at, {}, 2.0)
    assert isinstance(explained, node_explanation.NodeError)


def test_explanation_with_a_sound_head_is_read():
    body = b'{"outcome": "sent"}'
    head = SOUND.replace(b"%d" % len(BODY), b"%d" % len(body))
    with serve(head + body) as at:
        assert node_explanation.fetch(at, {}, 2.0) == {"outcome": "sent"}
