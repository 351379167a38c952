"""Makes the fingerprint by which quarantine recognises a resent call."""

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.node.http import inbound_call

_UNKNOWN_LENGTH = -1


def make_fingerprint(
    service: str, request_id: str, call: inbound_call.InboundCall
) -> fingerprint.Fingerprint:
    """Returns the fingerprint of a call.

    Args:
        service: Service of the backend server beside this node.
        request_id: Id of the whole request.
        call: The call; of a streamed body, only the buffered beginning and
            the declared length count.
    """
    head = call.head
    body_bytes = call.body_length
    if not call.is_body_complete:
        body_bytes = head.content_length or _UNKNOWN_LENGTH
    return fingerprint.make(
        service,
        request_id,
        head.method.decode("latin-1"),
        head.target.decode("latin-1"),
        body=call.buffered_body(),
        body_bytes=body_bytes,
    )
