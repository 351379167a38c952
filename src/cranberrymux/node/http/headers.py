"""Header lists: look-up, hop-by-hop filtering and encoding."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

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


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header; `name` is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def encode(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encodes header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % (name, value) for name, value in headers])


def forwardable(headers: HeaderList) -> HeaderList:
    """Leaves out hop-by-hop headers and those that `Connection` names."""
    named: frozenset[bytes] = HOP_BY_HOP
    connection = find(headers, b"connection")
    if connection is not None and connection.lower() not in (
        b"keep-alive",
        b"close",
    ):
        extra = [part.strip().lower() for part in connection.split(b",")]
        named = HOP_BY_HOP.union(extra)
    return [pair for pair in headers if pair[0] not in named]
