"""Ids by which a node tells the answers of other nodes apart.

The id of a request cannot do so: several calls and attempts of one request may
use the same connection.
"""

import itertools

from cranberrymux.node.http import headers
from cranberrymux.node.http import request_identity

HEADER = b"cranberrymux-correlation-id"

_numbers = itertools.count(1)


def make_identity() -> request_identity.RequestIdentity:
    """Returns the identity of a message that no other of this process has.

    Nodes of an earlier version repeat no id, so a connection requires it only
    once an answer on it has had one.
    """
    return request_identity.RequestIdentity(
        HEADER, b"%d" % next(_numbers), is_required=False
    )


def find_header(received: headers.Headers) -> headers.HeaderList:
    """Returns the header with which an answer repeats a request's id.

    Args:
        received: Headers of the request, or those read so far.

    Returns:
        At most one header; none if the request has no correlation id.
    """
    value = received.first.get(HEADER)
    return [] if value is None else [(HEADER, value)]
