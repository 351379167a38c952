"""HTTP site for announcements of the backend server, drain and status."""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import klein

from cranberrymux.models import json_fields
from cranberrymux.models import socket_address
from cranberrymux.models import strict_json
from cranberrymux.node import backend_server
from cranberrymux.node import status_body

_LOOPBACK = "127.0.0.1"
_MAXIMUM_BODY_BYTES = 65536
_MAXIMUM_SLOTS = 100_000
_MAXIMUM_PORT = 65535


class AnnounceError(NamedTuple):
    """Why an announcement is not valid.

    Attributes:
        key: Key of the JSON object whose value is not valid, or `(body)`.
        expected: Description of a valid value.
    """

    key: str
    expected: str


class AnnounceErrorBody(TypedDict):
    """JSON body of the answer to an announcement that is not valid.

    Attributes:
        error: Summary of the error.
        key: Key of the JSON object whose value is not valid, or `(body)`.
        expected: Description of a valid value.
    """

    error: str
    key: str
    expected: str


def parse_announcement(
    body: bytes,
) -> backend_server.BackendServer | AnnounceError:
    """Parses and checks the body of `PUT /v1/backend`.

    Args:
        body: JSON text.

    Returns:
        The announced backend server, or the first error found.
    """
    try:
        values = strict_json.load(body)
    except ValueError:
        return AnnounceError("(body)", "JSON")
    if not isinstance(values, dict):
        return AnnounceError("(body)", "a JSON object")
    error = _find_error(values)
    if error is not None:
        return error
    return backend_server.BackendServer(
        values["service"],
        socket_address.SocketAddress(
            values.get("address", _LOOPBACK), values["port"]
        ),
        values["slots"],
        values.get("labels", {}),
        tuple(values.get("calls", [])),
        values.get("load_path", ""),
    )


def _find_error(values: dict[str, Any]) -> AnnounceError | None:
    service = values.get("service")
    labels = values.get("labels", {})
    calls = values.get("calls", [])
    has_service = json_fields.is_usable_text(service)
    has_port = _is_integer_up_to(values.get("port"), _MAXIMUM_PORT)
    has_slots = _is_integer_up_to(values.get("slots"), _MAXIMUM_SLOTS)
    has_labels = isinstance(labels, dict) and _are_strings(
        [*labels.keys(), *labels.values()]
    )
    has_calls = isinstance(calls, list) and _are_strings(calls)
    has_path = _are_strings([values.get("load_path", "")])
    has_address = _are_strings([values.get("address", "")])
    for is_valid, key, expected in (
        (has_service, "service", "the name of a service"),
        (has_port, "port", f"a port from 1 to {_MAXIMUM_PORT}"),
        (has_slots, "slots", f"a number from 1 to {_MAXIMUM_SLOTS}"),
        (has_labels, "labels", "a map of text to text"),
        (has_calls, "calls", "a list of names of services"),
        (has_path, "load_path", "a text"),
        (has_address, "address", "a text"),
    ):
        if not is_valid:
            return AnnounceError(key, expected)
    return None


def _is_integer_up_to(value: Any, maximum: int) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 1 <= value <= maximum


def _are_strings(values: list[Any]) -> bool:
    return all(
        value == "" or json_fields.is_usable_text(value) for value in values
    )


class AnnounceSite:
    """HTTP routes of the announce port, for backend server and operators."""

    app = klein.Klein()

    def __init__(
        self,
        on_announced: Callable[[backend_server.BackendServer], None],
        on_drain: Callable[[], None],
        get_status: Callable[[], status_body.StatusBody],
    ) -> None:
        """Creates the site.

        Args:
            on_announced: Called with each valid announcement.
            on_drain: Called when a drain is requested.
            get_status: Returns the status of the node.
        """
        self._on_announced = on_announced
        self._on_drain = on_drain
        self._get_status = get_status

    @app.route("/v1/backend", methods=["PUT"])
    def put_backend(self, request: Any) -> bytes:
        """Accepts an announcement (200) or rejects it (400)."""
        body = request.content.read(_MAXIMUM_BODY_BYTES)
        announced = parse_announcement(body)
        if isinstance(announced, AnnounceError):
            request.setResponseCode(400)
            return self._encode_json(
                request,
                AnnounceErrorBody(
                    error="announcement not valid",
                    key=announced.key,
                    expected=announced.expected,
                ),
            )
        self._on_announced(announced)
        return self._encode_json(request, self._get_status())

    @app.route("/v1/drain", methods=["PUT", "POST"])
    def put_drain(self, request: Any) -> bytes:
        """Begins a drain (202), which goes on after the answer."""
        self._on_drain()
        request.setResponseCode(202)
        return self._encode_json(request, self._get_status())

    @app.route("/v1/status", methods=["GET"])
    def get_status(self, request: Any) -> bytes:
        """Returns the node's status as JSON."""
        return self._encode_json(request, self._get_status())

    def _encode_json(self, request: Any, body: Any) -> bytes:
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(body).encode() + b"\n"
