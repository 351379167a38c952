"""News of suspects from one node of a service to its siblings."""

from typing import NamedTuple

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.node import peer_request

TARGET = b"/cranberrymux/v1/suspect"
HEADER = b"cranberrymux-suspect"
_DEATH = "death"
_CLEAR = "clear"
_DEATH_PARTS = 4
_CLEAR_PARTS = 3
_MAXIMUM_LENGTH = 512


class Death(NamedTuple):
    """One death of one backend server.

    Attributes:
        key: Key of a fingerprint that was in flight.
        death_id: Names the death; the same in every copy of the news.
        was_sole: True if it was the only suspect in flight.
    """

    key: str
    death_id: str
    was_sole: bool


def make_death(report: death_report.DeathReport) -> Death:
    """Names the death of a report."""
    death_id = f"{report.endpoint_id}#{report.incarnation}#{report.death}"
    return Death(report.key, death_id, report.was_sole)


def encode_death(one: Death, proof: bytes) -> peer_request.PeerMessage:
    """Makes the message of a death."""
    text = f"{_DEATH};{one.key};{one.death_id};{int(one.was_sole)}"
    return peer_request.PeerMessage(TARGET, (HEADER, text.encode()), proof)


def encode_clear(
    one: clear_report.ClearReport, proof: bytes
) -> peer_request.PeerMessage:
    """Makes the message of a clean run."""
    text = f"{_CLEAR};{one.key};{one.deaths}"
    return peer_request.PeerMessage(TARGET, (HEADER, text.encode()), proof)


def decode(value: bytes) -> Death | clear_report.ClearReport | None:
    """Reads a message; None if it is not valid."""
    if len(value) > _MAXIMUM_LENGTH:
        return None
    parts = value.decode("latin-1").split(";")
    if parts[0] == _DEATH and len(parts) == _DEATH_PARTS:
        return Death(parts[1], parts[2], parts[3] == "1")
    is_clear = parts[0] == _CLEAR and len(parts) == _CLEAR_PARTS
    if is_clear and parts[2].isdigit():
        return clear_report.ClearReport(parts[1], int(parts[2]))
    return None
