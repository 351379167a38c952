"""Many fake nodes that send heartbeats to all control instances."""

import threading
import time

from bench.control import frames
from cranberrymux.wire.gen.messages import ttypes

HEARTBEAT_S = 1.0
SERVICES_CALLED = 2
ENDPOINTS_PER_SERVICE = 6


class FakeNodes(threading.Thread):
    """Nodes in one thread; each sends at its own moment of the interval."""

    def __init__(self, ports: list[int], key: str, count: int) -> None:
        """Connects every node to every port."""
        super().__init__(daemon=True)
        self._key = key
        self._connections = [
            [frames.Connection(port) for port in ports] for _ in range(count)
        ]
        self._versions = [0] * count
        self._revisions = [[("", 0)] * len(ports) for _ in range(count)]
        self._stopped = threading.Event()
        self.beats = 0

    @property
    def oldest_version(self) -> int:
        """The lowest version that any node has in force."""
        return min(self._versions)

    @property
    def moved_bytes(self) -> int:
        """Bytes sent and received by all nodes so far."""
        return sum(
            one.sent_bytes + one.received_bytes
            for node in self._connections
            for one in node
        )

    def run(self) -> None:
        """Sends heartbeats until stopped."""
        count = len(self._connections)
        turn = 0
        started_s = time.monotonic()
        while not self._stopped.is_set():
            self._beat(turn % count)
            turn += 1
            due_s = started_s + turn * HEARTBEAT_S / count
            time.sleep(max(0.0, due_s - time.monotonic()))

    def stop(self) -> None:
        """Ends the thread and the connections."""
        self._stopped.set()
        self.join()
        for node in self._connections:
            for one in node:
                one.close()

    def _beat(self, node: int) -> None:
        for place, connection in enumerate(self._connections[node]):
            connection.send(
                frames.encode_call(
                    "heartbeat", self._key, self._make(node, place), 1
                )
            )
        for place, connection in enumerate(self._connections[node]):
            _, answer = frames.decode_answer("heartbeat", connection.receive())
            self._revisions[node][place] = (
                answer.directory_epoch,
                answer.directory_revision,
            )
            if answer.configuration is not None:
                self._versions[node] = max(
                    self._versions[node], answer.configuration_version
                )
            self.beats += 1

    def _make(self, node: int, place: int) -> ttypes.Heartbeat:
        epoch, revision = self._revisions[node][place]
        service = node // ENDPOINTS_PER_SERVICE
        own = ttypes.Endpoint(
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
            node_id=own.endpoint_id,
            incarnation=own.incarnation,
            endpoints=[own],
            services=[
                f"service-{service + one + 1}" for one in range(SERVICES_CALLED)
            ],
            directory_revision=revision,
            configuration_version=self._versions[node],
            directory_epoch=epoch,
        )
