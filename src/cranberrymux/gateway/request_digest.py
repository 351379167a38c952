"""Digest by which a request is recognised when it comes again."""

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.node.http import inbound_call

# Longer bodies are known by their beginning. All nodes read at least so much
# before they pass a request on.
MAXIMUM_BODY_BYTES = 1 << 20
_UNKNOWN_LENGTH = -1


def make(call: inbound_call.InboundCall) -> str:
    """Returns the digest of method, host, target and body.

    The id is left out, as each attempt of a client has its own, and so is the
    service of the instance where it began, as it may come again at any
    instance. Targets and bodies may be secret, so that logs and messages hold
    the digest only.
    """
    head = call.head
    host = head.headers.first.get(b"host", b"")
    content = b"%b %b%b" % (head.method, host.lower(), head.target)
    if not content.isascii():
        content = content.decode("latin-1").encode()
    is_known = call.is_body_complete and call.body_length <= MAXIMUM_BODY_BYTES
    return fingerprint.make_digest(
        content,
        body=call.buffered_body()[:MAXIMUM_BODY_BYTES],
        body_bytes=call.body_length if is_known else _UNKNOWN_LENGTH,
    )
