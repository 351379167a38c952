"""The index of a message's headers, and the limits on them.

Guards against a look-up that differs from the headers that are passed on, and
against a head that is read without end.
"""

import pytest

from cranberrymux.node.http import header_reader
from cranberrymux.node.http import headers as headers_module

PAIRS = [
    (b"Host", b"records.example"),
    (b"X-Part", b"first \t"),
    (b"x-part", b""),
    (b"X-PART", b"first"),
]


def test_keeps_order_and_duplicates():
    assert headers_module.Headers(PAIRS) == [
        (b"host", b"records.example"),
        (b"x-part", b"first"),
        (b"x-part", b""),
        (b"x-part", b"first"),
    ]


@pytest.mark.parametrize("name", [b"host", b"x-part", b"X-Part", b"other"])
def test_index_finds_what_a_scan_of_the_list_finds(name):
    made = headers_module.Headers([*PAIRS, (b"host", b"second")])
    found = headers_module.find(list(made), name)
    assert headers_module.find(made, name) == found
    assert headers_module.index(made).get(name) == found
    assert headers_module.index(list(made)).get(name) == found


class TestHeaderReader:
    def test_takes_as_many_bytes_as_allowed_and_no_more(self):
        reader = header_reader.HeaderReader(10, 9)
        reader.note_read(1000)
        reader.begin()
        reader.add(b"name", b"values")
        assert not reader.is_exceeded
        reader.add(b"n", b"")
        assert reader.is_exceeded and not reader.has_too_many

    def test_takes_as_many_headers_as_allowed_and_no_more(self):
        reader = header_reader.HeaderReader(100, 2)
        reader.note_read(20)
        reader.begin()
        reader.add(b"a", b"1")
        reader.add(b"b", b"2")
        assert not reader.is_exceeded
        reader.add(b"c", b"3")
        assert reader.is_exceeded and reader.has_too_many

    def test_adds_up_reads_and_starts_anew_with_each_message(self):
        reader = header_reader.HeaderReader(10, 9)
        reader.note_read(9)
        reader.begin()
        reader.add(b"name", b"1234")
        reader.note_read(9)
        reader.add(b"name", b"1234")
        assert reader.is_exceeded
        reader.begin()
        assert not reader.is_exceeded
        assert reader.take() == []

    def test_counts_trailers_with_the_headers_before_them(self):
        """Guards against trailers without end."""
        reader = header_reader.HeaderReader(10, 2)
        reader.note_read(100)
        reader.begin()
        reader.add(b"a", b"1")
        assert reader.take() == [(b"a", b"1")]
        assert not reader.pairs
        reader.add(b"b", b"2")
        assert not reader.is_exceeded
        reader.add(b"c", b"3")
        assert reader.is_exceeded and reader.has_too_many


def test_names_are_kept_for_a_bounded_number_of_names():
    """Guards against a sender that makes up names without end."""
    for number in range(5000):
        name = b"X-Name-%d" % number
        assert headers_module.Headers([(name, b"")]).first == {
            b"x-name-%d" % number: b""
        }
    long_name = b"X" * 1000
    assert headers_module.Headers([(long_name, b"")])[0][0] == b"x" * 1000
    kept = headers_module.lower_names
    assert len(kept) <= 1024
    assert long_name not in kept
