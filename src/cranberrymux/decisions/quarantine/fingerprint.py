"""Fingerprint by which a resent call is recognised."""

import hashlib
from typing import NamedTuple

DIGEST_BYTES = 16


class Fingerprint(NamedTuple):
    """Identity of a call; a resend shares at least one of its two keys.

    Attributes:
        service: Service that the call goes to. Deaths are counted per service,
            so that calls of the same request to other services are not
            suspected.
        request_id: UUID of the whole request.
        digest: Hexadecimal digest of method, path, body length and body.
    """

    service: str
    request_id: str
    digest: str

    @property
    def keys(self) -> tuple[str, str]:
        """Keys of request id and digest that deaths are counted under.

        The shared state uses the same keys.
        """
        return (
            f"{self.service}/id:{self.request_id}",
            f"{self.service}/digest:{self.digest}",
        )


def make(
    service: str,
    request_id: str,
    method: str,
    path: str,
    *,
    body: bytes,
    body_bytes: int,
) -> Fingerprint:
    """Returns the fingerprint of a call.

    Args:
        service: Service that the call goes to.
        request_id: UUID of the whole request.
        method: HTTP method.
        path: Path with its query.
        body: The body, or its beginning if the body is streamed.
        body_bytes: Length of the whole body in bytes; -1 if unknown.
    """
    head = f"{method} {path} {body_bytes}\n".encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    digest.update(body)
    return Fingerprint(service, request_id, digest.hexdigest())
