"""Decodes the announcements that backend servers send on the platform."""

import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.presence import announcement
from cranberrymux.models import socket_address
from cranberrymux.platform import durations

MAXIMUM_BODY_BYTES = 4096
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
        return _decode(backend_id, json.loads(body))
    except (ValueError, TypeError, KeyError) as error:
        return AnnouncementError(f"{type(error).__name__}: {error}")


def _decode(backend_id: str, values: Any) -> announcement.Announcement:
    address = _text(values, "addr")
    if socket_address.parse(address) is None:
        raise ValueError(f"addr: expected IP:PORT, found {address!r}")
    return announcement.Announcement(
        backend_id=backend_id,
        # Start time in Unix milliseconds; older backend servers do not send it.
        started_ms=_whole(values, "born") if "born" in values else 0,
        sequence=_whole(values, "seq"),
        service=_text(values, "service"),
        address=address,
        zone=_text(values, "zone"),
        # Number of concurrent requests, not of processors.
        slots=_whole(values, "concurrency"),
        state=_STATES[_text(values, "state")],
        cold_left_s=durations.parse_s(values["cold_left"]),
    )


def _text(values: Any, name: str) -> str:
    value = values[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: expected a non-empty string")
    return value


def _whole(values: Any, name: str) -> int:
    value = values[name]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name}: expected an integer from 0")
    return value
