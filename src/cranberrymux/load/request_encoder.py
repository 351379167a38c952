"""Writes the bytes of a request."""

from cranberrymux.load import kind_settings


class RequestEncoder:
    """Encodes requests of one kind; all but the id is prepared."""

    def __init__(self, kind: kind_settings.KindSettings) -> None:
        """Prepares the head.

        Args:
            kind: Settings of the kind.
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
        """Gives the whole request under an id."""
        head = self._head.replace("{request_id}", request_id).encode("latin-1")
        if not self._body_bytes:
            return head
        body = request_id.encode("ascii").ljust(self._body_bytes, b".")
        return head + body[: self._body_bytes]
