"""Encodes HTTP/1.1 requests of a load."""

from cranberrymux.load import kind_settings


class RequestEncoder:
    """Encodes requests of one kind that differ only in their id."""

    def __init__(self, kind: kind_settings.KindSettings) -> None:
        """Builds the head that all requests share.

        Args:
            kind: Settings of this kind of request.
        """
        lines = [
            f"{kind.method} {kind.path} HTTP/1.1",
            "Host: cranberrymux",
            "Cranberrymux-Request-Id: {request_id}",
            f"Cranberrymux-Principal: {kind.principal}",
            f"Cranberrymux-Timeout-Ms: {int(kind.timeout_ms)}",
        ]
        lines += [f"{name}: {value}" for name, value in kind.headers.items()]
        if kind.body_bytes:
            lines.append(f"Content-Length: {kind.body_bytes}")
        self._head = "\r\n".join(lines) + "\r\n\r\n"
        self._body_bytes = kind.body_bytes

    def encode(self, request_id: str) -> bytes:
        """Returns the encoded request, head and body.

        Args:
            request_id: Id of the request; the body begins with as much of it
                as fits, padded with dots.
        """
        head = self._head.replace("{request_id}", request_id).encode("latin-1")
        if not self._body_bytes:
            return head
        body = request_id.encode("ascii").ljust(self._body_bytes, b".")
        return head + body[: self._body_bytes]
