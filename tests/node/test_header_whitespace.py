"""Whitespace behind a header's value, which is no part of it.

Guards against a cut answer that looks whole, and against proper requests that
are rejected.
"""

from tests.node import test_answer_framing as framing


def test_cut_answer_whose_length_has_whitespace_behind_it_is_lost():
    """Guards against a cut answer that the end of its connection ends."""
    reader = framing.Reader()
    reader.read(framing.HEAD + b"Content-Length: 4 \r\n\r\nbo", "orderly")
    assert reader.sink.ends == ["lost"]


def test_answer_whose_length_has_whitespace_behind_it_is_whole():
    reader = framing.Reader()
    reader.read(framing.HEAD + b"Content-Length: 4 \r\n\r\nbody")
    assert reader.sink.ends == ["complete"]


def test_answer_whose_id_has_whitespace_behind_it_is_taken():
    """Guards against waiting until the deadline beside the right answer."""
    reader = framing.Reader()
    reader.read(
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1 \r\nContent-Length: 4\r\n\r\nbody"
    )
    assert reader.sink.ends == ["complete"]
