"""Heartbeats of made-up nodes."""

from collections.abc import Sequence
import threading
from typing import Any

from bench.control import frames
from cranberrymux.wire.gen.messages import ttypes

ENDPOINTS_PER_SERVICE = 5
ENDPOINTS_PER_FRAME = 100
_INCARNATION = 1_800_000_000_000
_RENEW_S = 1.0


def make_service_names(endpoints: int) -> list[str]:
    """Returns the services that hold so many endpoints."""
    return [f"service-{n}" for n in range(endpoints // ENDPOINTS_PER_SERVICE)]


def make_endpoint(number: int) -> Any:
    """Returns one endpoint of about the size of a real one."""
    service = f"service-{number // ENDPOINTS_PER_SERVICE}"
    return ttypes.Endpoint(
        service_name=service,
        endpoint_id=f"{service}-endpoint-{number}",
        incarnation=_INCARNATION,
        sequence=1,
        address="127.0.0.1",
        port=9000,
        region="cascadia",
        zone="cascadia-a",
        labels={"store": "a", "team": "dispatch"},
        slots=50,
        state=1,
    )


def make_heartbeat(
    node_id: str,
    endpoints: Sequence[Any] = (),
    services: Sequence[str] = (),
    known: tuple[str, int] = ("", 0),
    configuration_version: int = 1 << 40,
) -> Any:
    """Returns a heartbeat; `known` is the directory's epoch and revision."""
    return ttypes.Heartbeat(
        node_id=node_id,
        incarnation=_INCARNATION,
        endpoints=list(endpoints),
        services=list(services),
        directory_revision=known[1],
        configuration_version=configuration_version,
        directory_epoch=known[0],
    )


def encode_announcements(key: str, first: int, last: int) -> list[bytes]:
    """Returns heartbeats that announce the endpoints from first to last."""
    return [
        frames.encode_call(
            "heartbeat",
            key,
            make_heartbeat(
                f"holder-{start}",
                [
                    make_endpoint(number)
                    for number in range(start, start + ENDPOINTS_PER_FRAME)
                ],
            ),
            place,
        )
        for place, start in enumerate(range(first, last, ENDPOINTS_PER_FRAME))
    ]


class Announcer(threading.Thread):
    """Holds endpoints' leases at all control instances until stopped."""

    def __init__(self, ports: Sequence[int], key: str, count: int) -> None:
        """Makes the frames."""
        super().__init__(daemon=True)
        self._ports = ports
        self._frames = encode_announcements(key, 0, count)
        self._stopped = threading.Event()

    def announce(self) -> None:
        """Sends every announcement once."""
        for port in self._ports:
            frames.run_pipelined(port, "heartbeat", self._frames, 4)

    def run(self) -> None:
        """Announces each second."""
        while not self._stopped.wait(_RENEW_S):
            self.announce()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped.set()
        self.join()
