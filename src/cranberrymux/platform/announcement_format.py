"""Decodes the announcements that backend servers send on the platform."""

from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.presence import announcement
from cranberrymux.models import json_fields
from cranberrymux.models import socket_address
from cranberrymux.models import strict_json
from cranberrymux.platform import durations

MAXIMUM_BODY_BYTES = 4096
MAXIMUM_SLOTS = 1_000_000
_STATES = {
    "ready": announcement.BackendState.SERVING,
    "draining": announcement.BackendState.DRAINING,
}


class AnnouncementError(NamedTuple):
    """Result for a body that is not a valid announcement.

    Attributes:
        detail: Human-readable cause, one line.
    """

    detail: str


def decode(
    backend_id: str, body: bytes
) -> announcement.Announcement | AnnouncementError:
    """Decodes the body of an announcement.

    Args:
        backend_id: Id of the backend server, from the path of the call.
        body: JSON object, at most `MAXIMUM_BODY_BYTES` long.
    """
    if len(body) > MAXIMUM_BODY_BYTES:
        return AnnouncementError(f"body too long: {len(body)} bytes")
    try:
        return _decode(backend_id, strict_json.load(body))
    except ValueError as error:
        return AnnouncementError(str(error))


def _decode(backend_id: str, values: Any) -> announcement.Announcement:
    if not isinstance(values, dict):
        raise ValueError("expected a map")
    if not (backend_id.isascii() and json_fields.is_usable_text(backend_id)):
        raise ValueError("expected an id of ASCII characters")
    address = json_fields.read_text(values, "addr")
    if socket_address.parse(address) is None:
        raise ValueError("addr: expected IP:PORT")
    state = _STATES.get(json_fields.read_text(values, "state"))
    if state is None:
        raise ValueError(f"state: expected one of {', '.join(_STATES)}")
    started_ms = 0
    if "born" in values:
        # Start time in Unix milliseconds; older backend servers do not send it.
        started_ms = json_fields.read_integer(values, "born")
    return announcement.Announcement(
        backend_id=backend_id,
        started_ms=started_ms,
        sequence=json_fields.read_integer(values, "seq"),
        service=json_fields.read_text(values, "service"),
        address=address,
        zone=json_fields.read_text(values, "zone"),
        # Number of concurrent requests, not of processors.
        slots=json_fields.read_integer(
            values, "concurrency", minimum=1, maximum=MAXIMUM_SLOTS
        ),
        state=state,
        cold_left_s=durations.read_s(values, "cold_left"),
    )
