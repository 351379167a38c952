"""Lookup, encoding and hop-by-hop filtering of HTTP headers."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

# Values of `Connection` that name no header.
_CONNECTION_OPTIONS = (b"keep-alive", b"close")
# Names that are kept in lower case, and the longest of them.
_KEPT_NAMES = 1024
_KEPT_NAME_BYTES = 64


class _LowerNames(dict[bytes, bytes]):
    """Names in lower case by the names as read; bounded in size."""

    def __missing__(self, name: bytes) -> bytes:
        lower = name.lower()
        if len(name) <= _KEPT_NAME_BYTES:
            if len(self) >= _KEPT_NAMES:
                self.clear()
            self[name] = lower
        return lower


lower_names = _LowerNames()

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


class Headers(HeaderList):
    """Headers of one message, which do not change, with an index.

    Attributes:
        first: Value of the first header of each name.
    """

    __slots__ = ("first",)

    def __init__(self, pairs: HeaderList, is_normal: bool = False) -> None:
        """Makes the headers as the code expects them.

        Args:
            pairs: Names, which become lower case, and values as read; the
                parser leaves whitespace behind them.
            is_normal: True if that has been done.
        """
        if not is_normal:
            pairs = [
                (lower_names[name], value.rstrip(b" \t"))
                for name, value in pairs
            ]
        super().__init__(pairs)
        self.first = dict(pairs[::-1])


def index(headers: HeaderList) -> dict[bytes, bytes]:
    """Returns the value of the first header of each name.

    Args:
        headers: Headers with names in lower case.
    """
    return headers.first if type(headers) is Headers else dict(headers[::-1])


def find(headers: HeaderList, name: bytes) -> bytes | None:
    """Returns the value of the first header with a name.

    Args:
        headers: Headers with names in lower case.
        name: Name to look for, in lower case.

    Returns:
        The value; None if there is no such header.
    """
    if type(headers) is Headers:
        return headers.first.get(name)
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
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


def find_hop_by_hop(headers: HeaderList) -> frozenset[bytes]:
    """Returns the names of `HOP_BY_HOP` and those that `Connection` names."""
    if type(headers) is Headers and b"connection" not in headers.first:
        return HOP_BY_HOP
    connection = find(headers, b"connection")
    if connection is None or (
        connection in _CONNECTION_OPTIONS
        or connection.lower() in _CONNECTION_OPTIONS
    ):
        return HOP_BY_HOP
    nominated = [part.strip().lower() for part in connection.split(b",")]
    return HOP_BY_HOP.union(nominated)


def forwardable(headers: HeaderList) -> HeaderList:
    """Returns the headers without hop-by-hop ones; see `find_hop_by_hop`."""
    dropped = find_hop_by_hop(headers)
    return [pair for pair in headers if pair[0] not in dropped]
