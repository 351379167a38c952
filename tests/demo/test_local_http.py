"""Responses that break off, as the demo's client reads them.

Guards against a run of the demo that counts a response as served whose head
or body was cut.
"""

import contextlib
import socket
import threading

import pytest

from cranberrymux.demo import local_http
from tests.fakes import resets

HEAD = b"HTTP/1.1 200 OK\r\nserver-stamp: proof\r\n"
RESPONSES = {
    "sized": HEAD + b"content-length: 4\r\n\r\nbody",
    "empty": b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx: y\r\n\r\n",
    "chunked": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n"
        b"02\r\nbo\r\n02\r\ndy\r\n0\r\nx-sum: 1\r\n\r\n"
    ),
    "no-content": HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"content-length: 4\r\n"
        b"\r\nbody"
    ),
}


@contextlib.contextmanager
def serve(responses, *, is_reset=False):
    """Answers each connection by the next response, then closes it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run():
            for response in responses:
                connection, _ = listener.accept()
                with connection:
                    connection.recv(65_536)
                    connection.sendall(response)
                    if is_reset:
                        resets.reset(connection)

        thread = threading.Thread(target=run)
        thread.start()
        yield listener.getsockname()[1]
        thread.join()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("name", RESPONSES)
def test_response_cut_at_any_byte_is_none(name, is_reset):
    whole = RESPONSES[name]
    cuts = [whole[:length] for length in range(len(whole))]
    with serve(cuts, is_reset=is_reset) as port:
        for cut in cuts:
            assert local_http.send(port, "GET", "/") == (0, b""), cut


@pytest.mark.parametrize("name", RESPONSES)
def test_whole_response_is_read(name):
    with serve([RESPONSES[name]]) as port:
        response = local_http.send(port, "POST", "/", "data", {"X": "y"})
    is_empty = name in ("empty", "no-content")
    assert response.status == (204 if name == "no-content" else 200)
    assert response.body == (b"" if is_empty else b"body")


def test_response_without_a_length_ends_with_an_orderly_close_only():
    data = HEAD + b"\r\nbody"
    with serve([data]) as port:
        assert local_http.send(port, "GET", "/") == (200, b"body")
    with serve([data], is_reset=True) as port:
        assert local_http.send(port, "GET", "/") == (0, b"")


@pytest.mark.parametrize(
    "odd",
    [
        HEAD.replace(b"200", b"000") + b"content-length: 4\r\n\r\n",
        HEAD.replace(b"200", b"099") + b"content-length: 4\r\n\r\n",
        HEAD + b"x y: z\r\ncontent-length: 4\r\n\r\n",
        HEAD + b"x\x01: z\r\ncontent-length: 4\r\n\r\n",
    ],
)
def test_response_with_an_odd_head_is_none(odd):
    """Guards against its body before that of the response behind it."""
    with serve([odd + b"body" + RESPONSES["sized"]]) as port:
        assert local_http.send(port, "GET", "/") == (0, b"")
