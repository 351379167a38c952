"""A loopback TCP proxy that delays, blocks or resets connections."""

import enum
import selectors
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.05


class Fault(enum.Enum):
    """Fault that a proxy applies to the bytes that it forwards."""

    NONE = "none"
    DELAY = "delay"
    # Forwards nothing in either direction, but keeps connections open.
    SILENCE = "silence"
    # Forwards nothing from the server to the client.
    ONE_WAY = "one-way"


class Proxy:
    """Accepts connections at one address and forwards them to another.

    Attributes:
        fault: The fault at present.
        delay_s: Time before each chunk under `Fault.DELAY`, seconds.
    """

    def __init__(self, listen, target):
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self._target = target
        self._pairs = set()
        self._lock = threading.Lock()
        self._is_closed = False
        self._listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self._accept_forever, daemon=True).start()

    def reset_all(self):
        """Closes every connection with a TCP reset."""
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            for connection in pair:
                _reset(connection)

    def close(self):
        self._is_closed = True
        self._listener.close()
        self.reset_all()

    def _accept_forever(self):
        while not self._is_closed:
            try:
                client_side, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(client_side,), daemon=True
            ).start()

    def _serve(self, client_side):
        while self.fault in (Fault.SILENCE, Fault.ONE_WAY):
            time.sleep(POLL_S)
            if self._is_closed:
                client_side.close()
                return
        try:
            server_side = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(client_side)
            return
        pair = (client_side, server_side)
        with self._lock:
            self._pairs.add(pair)
        try:
            self._forward(client_side, server_side)
        except (OSError, ValueError):
            pass  # One side is closed; the other one is closed below.
        finally:
            with self._lock:
                self._pairs.discard(pair)
            client_side.close()
            server_side.close()

    def _forward(self, client_side, server_side):
        with selectors.DefaultSelector() as selector:
            selector.register(client_side, selectors.EVENT_READ, server_side)
            selector.register(server_side, selectors.EVENT_READ, client_side)
            while True:
                for key, _ in selector.select(POLL_S):
                    if self._holds_back(key.fileobj is server_side):
                        time.sleep(POLL_S)
                        continue
                    data = key.fileobj.recv(CHUNK_BYTES)
                    if not data:
                        return
                    if self.fault is Fault.DELAY:
                        time.sleep(self.delay_s)
                    key.data.sendall(data)

    def _holds_back(self, is_from_server):
        if self.fault is Fault.SILENCE:
            return True
        return self.fault is Fault.ONE_WAY and is_from_server


def _reset(connection):
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It is closed already.
