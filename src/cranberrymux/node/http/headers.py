"""Lookup, encoding and hop-by-hop filtering of HTTP headers."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

# Headers that hold for one connection only or that each connection sets anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


def normalize(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Returns a header as the code expects it.

    Args:
        name: Name as read.
        value: Value as read; the parser leaves whitespace behind it.

    Returns:
        The name in lower case, and the value without whitespace around it.
    """
    return name.lower(), value.strip(b" \t")


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the value of the first header with a name.

    Args:
        headers: Headers with names in lower case.
        name: Name to look for, in lower case.

    Returns:
        The value; None if there is no such header.
    """
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def find_all(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> list[bytes]:
    """Returns the values of all headers with a name, in order.

    Args:
        headers: Headers with names in lower case.
        name: Name to look for, in lower case.
    """
    return [value for header_name, value in headers if header_name == name]


def encode(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encodes header lines, each ended by CRLF, without the empty line."""
    return b"".join([b"%b: %b\r\n" % (name, value) for name, value in headers])


def forwardable(headers: HeaderList) -> HeaderList:
    """Returns the headers without hop-by-hop ones.

    Left out are those of `HOP_BY_HOP` and those that `Connection` names.
    """
    dropped: frozenset[bytes] = HOP_BY_HOP
    connection = find(headers, b"connection")
    if connection is not None and connection.lower() not in (
        b"keep-alive",
        b"close",
    ):
        nominated = [part.strip().lower() for part in connection.split(b",")]
        dropped = HOP_BY_HOP.union(nominated)
    return [pair for pair in headers if pair[0] not in dropped]
