"""How a request is known again when its caller sends it again."""

import hashlib
from typing import NamedTuple

DIGEST_BYTES = 16


class Fingerprint(NamedTuple):
    """Two keys of one call; a resend shares at least one of them.

    Attributes:
        service: Service that the call goes to; the calls of one request to
            other services are not blamed with it.
        request_id: UUID of the whole request.
        digest: Hexadecimal digest of method, path and body.
    """

    service: str
    request_id: str
    digest: str

    @property
    def keys(self) -> tuple[str, str]:
        """The keys under which deaths are counted, also in shared state."""
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
    """Makes the fingerprint of a call.

    Args:
        service: Service that the call goes to.
        request_id: UUID of the whole request.
        method: HTTP method.
        path: Path with its query.
        body: The body, or its beginning if the body is streamed.
        body_bytes: Length of the whole body in bytes; -1 if not known.
    """
    head = f"{method} {path} {body_bytes}\n".encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    digest.update(body)
    return Fingerprint(service, request_id, digest.hexdigest())
