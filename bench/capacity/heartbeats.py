"""Heartbeats that announce or subscribe to endpoints of fake nodes."""

from collections.abc import Sequence
import threading
from typing import Any

from bench.control import frames
from cranberrymux.wire.gen.messages import ttypes

ENDPOINTS_PER_SERVICE = 5
ENDPOINTS_PER_FRAME = 100
_INCARNATION_MS = 1_800_000_000_000
_RENEWAL_INTERVAL_S = 1.0


def make_service_names(endpoints: int) -> list[str]:
    """Returns the names of the services that the first endpoints belong to.

    Args:
        endpoints: Number of endpoints, a multiple of `ENDPOINTS_PER_SERVICE`.
    """
    return [
        f"service-{number}"
        for number in range(endpoints // ENDPOINTS_PER_SERVICE)
    ]


def make_endpoint(number: int) -> Any:
    """Returns a thrift `Endpoint` of about the size of a real one."""
    service = f"service-{number // ENDPOINTS_PER_SERVICE}"
    return ttypes.Endpoint(
        service_name=service,
        endpoint_id=f"{service}-endpoint-{number}",
        incarnation=_INCARNATION_MS,
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
    """Returns a thrift `Heartbeat`.

    Args:
        node_id: Id of the node that sends it.
        endpoints: Thrift `Endpoint`s to announce.
        services: Names of the services to subscribe to.
        known: Epoch and revision of the directory that the node has.
        configuration_version: Version that the node has in force; the default
            is above every version, so that no document is sent.
    """
    return ttypes.Heartbeat(
        node_id=node_id,
        incarnation=_INCARNATION_MS,
        endpoints=list(endpoints),
        services=list(services),
        directory_revision=known[1],
        configuration_version=configuration_version,
        directory_epoch=known[0],
    )


def encode_announcements(key: str, first: int, last: int) -> list[bytes]:
    """Returns frames of heartbeats that announce a range of endpoints.

    Args:
        key: The cluster key.
        first: Number of the first endpoint.
        last: Number after that of the last endpoint; `last - first` is a
            multiple of `ENDPOINTS_PER_FRAME`.

    Returns:
        One frame per `ENDPOINTS_PER_FRAME` endpoints, numbered from 0.
    """
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
            call_number,
        )
        for call_number, start in enumerate(
            range(first, last, ENDPOINTS_PER_FRAME)
        )
    ]


class EndpointAnnouncer(threading.Thread):
    """Renews endpoints' leases at all control instances until stopped."""

    def __init__(self, ports: Sequence[int], key: str, count: int) -> None:
        """Encodes the announcements.

        Args:
            ports: TCP ports of the control instances.
            key: The cluster key.
            count: Number of endpoints, a multiple of `ENDPOINTS_PER_FRAME`.
        """
        super().__init__(daemon=True)
        self._ports = ports
        self._frames = encode_announcements(key, 0, count)
        self._stopped = threading.Event()

    def announce(self) -> None:
        """Sends every announcement once to each control instance."""
        for port in self._ports:
            frames.run_pipelined(port, "heartbeat", self._frames, 4)

    def run(self) -> None:
        """Announces once per second until stopped."""
        while not self._stopped.wait(_RENEWAL_INTERVAL_S):
            self.announce()

    def stop(self) -> None:
        """Stops the thread and waits for its end."""
        self._stopped.set()
        self.join()
