"""Load of many nodes' heartbeats on all control instances."""

import threading
import time

from bench.control import frames
from cranberrymux.wire.gen.messages import ttypes

HEARTBEAT_S = 1.0
SERVICES_CALLED = 2
ENDPOINTS_PER_SERVICE = 6


class FakeNodes(threading.Thread):
    """Fake nodes in one thread that send heartbeats, evenly spread in time.

    Attributes:
        answered_heartbeats: Number of heartbeats that control instances have
            answered.
    """

    def __init__(self, ports: list[int], key: str, count: int) -> None:
        """Connects every node to every control instance.

        Args:
            ports: TCP ports of the control instances.
            key: The cluster key.
            count: Number of nodes, 1 or more.
        """
        super().__init__(daemon=True)
        self._key = key
        self._connections = [
            [frames.Connection(port) for port in ports] for _ in range(count)
        ]
        self._versions = [0] * count
        self._revisions = [[("", 0)] * len(ports) for _ in range(count)]
        self._stopped = threading.Event()
        self.answered_heartbeats = 0

    @property
    def oldest_version(self) -> int:
        """Lowest configuration version that any node has in force."""
        return min(self._versions)

    @property
    def transferred_bytes(self) -> int:
        """Bytes sent and received by all nodes so far."""
        return sum(
            connection.sent_bytes + connection.received_bytes
            for connections in self._connections
            for connection in connections
        )

    def run(self) -> None:
        """Sends heartbeats until stopped."""
        count = len(self._connections)
        sent_count = 0
        started_s = time.monotonic()
        while not self._stopped.is_set():
            self._send_heartbeats(sent_count % count)
            sent_count += 1
            next_due_s = started_s + sent_count * HEARTBEAT_S / count
            time.sleep(max(0.0, next_due_s - time.monotonic()))

    def stop(self) -> None:
        """Stops the thread, waits for its end and closes the connections."""
        self._stopped.set()
        self.join()
        for connections in self._connections:
            for connection in connections:
                connection.close()

    def _send_heartbeats(self, node: int) -> None:
        for instance, connection in enumerate(self._connections[node]):
            connection.send(
                frames.encode_call(
                    "heartbeat",
                    self._key,
                    self._make_heartbeat(node, instance),
                    1,
                )
            )
        for instance, connection in enumerate(self._connections[node]):
            _, answer = frames.decode_answer("heartbeat", connection.receive())
            self._revisions[node][instance] = (
                answer.directory_epoch,
                answer.directory_revision,
            )
            if answer.configuration is not None:
                self._versions[node] = max(
                    self._versions[node], answer.configuration_version
                )
            self.answered_heartbeats += 1

    def _make_heartbeat(self, node: int, instance: int) -> ttypes.Heartbeat:
        epoch, revision = self._revisions[node][instance]
        service = node // ENDPOINTS_PER_SERVICE
        own_endpoint = ttypes.Endpoint(
            service_name=f"service-{service}",
            endpoint_id=f"service-{service}-endpoint-{node}",
            incarnation=1_800_000_000_000,
            sequence=1,
            address="127.0.0.1",
            port=9000,
            region="cascadia",
            zone="cascadia-a",
            labels={"store": "a", "team": "dispatch"},
            slots=50,
            state=1,
        )
        return ttypes.Heartbeat(
            node_id=own_endpoint.endpoint_id,
            incarnation=own_endpoint.incarnation,
            endpoints=[own_endpoint],
            services=[
                f"service-{service + offset + 1}"
                for offset in range(SERVICES_CALLED)
            ],
            directory_revision=revision,
            configuration_version=self._versions[node],
            directory_epoch=epoch,
        )
