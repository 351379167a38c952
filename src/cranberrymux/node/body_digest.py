"""Digest by which a claim recognises the same call under its id."""

import hashlib

from cranberrymux.node.http import inbound_call

DIGEST_BYTES = 32


def compute_digest(call: inbound_call.InboundCall) -> str:
    """Returns the hexadecimal BLAKE2b digest of method, target and body.

    Args:
        call: A call whose body is buffered completely.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(b"%b %b\n" % (call.head.method, call.head.target))
    digest.update(call.buffered_body())
    return digest.hexdigest()
