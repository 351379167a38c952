"""Fingerprint by which a resent call is recognised."""

import hashlib
from typing import NamedTuple

DIGEST_BYTES = 16


class Fingerprint(NamedTuple):
    """Identity of a call; a resend shares at least one of its keys.

    Attributes:
        scope: Service that the call goes to, where deaths are counted per
            service, so that calls of the same request to other services are
            not suspected. Empty where the digest covers what selects the
            service.
        request_id: UUID of the whole request; empty if a resend has another
            id.
        digest: Hexadecimal digest of method, path, body length and body.
    """

    scope: str
    request_id: str
    digest: str

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys that deaths are counted under, that of the digest last.

        The shared state uses the same keys.
        """
        if not self.request_id:
            return (self.digest_key,)
        return (f"{self.scope}/id:{self.request_id}", self.digest_key)

    @property
    def digest_key(self) -> str:
        """Key that all resends share whose content is the same."""
        return f"{self.scope}/digest:{self.digest}"


def from_digest(digest: str) -> Fingerprint:
    """Returns the fingerprint of a request at a node that serves routes.

    Each attempt of a client has another id, and the digest covers the host, so
    that neither an id nor a service is part of it.
    """
    return Fingerprint("", "", digest)


def make(
    scope: str,
    request_id: str,
    method: str,
    path: str,
    *,
    body: bytes,
    body_bytes: int,
) -> Fingerprint:
    """Returns the fingerprint of a call.

    Args:
        scope: Service that the call goes to; see `Fingerprint`.
        request_id: UUID of the whole request; see `Fingerprint`.
        method: HTTP method.
        path: Path with its query, or the whole URL.
        body: The body, or its beginning if the body is streamed.
        body_bytes: Length of the whole body in bytes; -1 if unknown.
    """
    head = f"{method} {path}".encode("utf-8", "surrogateescape")
    digest = make_digest(head, body=body, body_bytes=body_bytes)
    return Fingerprint(scope, request_id, digest)


def make_digest(head: bytes, *, body: bytes, body_bytes: int) -> str:
    """Returns the hexadecimal digest of a call.

    Args:
        head: Method and path, separated by a space.
        body: The body, or its beginning if the body is streamed.
        body_bytes: Length of the whole body in bytes; -1 if unknown.
    """
    digest = hashlib.blake2b(
        b"%b %d\n" % (head, body_bytes), digest_size=DIGEST_BYTES
    )
    if body:
        digest.update(body)
    return digest.hexdigest()
