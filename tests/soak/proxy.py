"""A loopback proxy that treats connections badly when it is told to."""

import enum
import selectors
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.05


class Fault(enum.Enum):
    """What happens to the bytes."""

    NONE = "none"
    DELAY = "delay"
    # Nothing passes any more, and nobody is told.
    SILENCE = "silence"
    # The same for what the server sends.
    ONE_WAY = "one-way"


class Proxy:
    """Forwards one address to another."""

    def __init__(self, listen, target):
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self._target = target
        self._pairs = set()
        self._lock = threading.Lock()
        self._is_closed = False
        self._listening = socket.create_server(listen, backlog=64)
        threading.Thread(target=self._accept_forever, daemon=True).start()

    def reset_all(self):
        """Ends every connection with a reset."""
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            for one in pair:
                _reset(one)

    def close(self):
        self._is_closed = True
        self._listening.close()
        self.reset_all()

    def _accept_forever(self):
        while not self._is_closed:
            try:
                near, _ = self._listening.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near):
        while self.fault in (Fault.SILENCE, Fault.ONE_WAY):
            time.sleep(POLL_S)
            if self._is_closed:
                near.close()
                return
        try:
            far = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(near)
            return
        pair = (near, far)
        with self._lock:
            self._pairs.add(pair)
        try:
            self._forward(near, far)
        except (OSError, ValueError):
            pass  # Either side is gone, which the other one is told below.
        finally:
            with self._lock:
                self._pairs.discard(pair)
            near.close()
            far.close()

    def _forward(self, near, far):
        with selectors.DefaultSelector() as selector:
            selector.register(near, selectors.EVENT_READ, far)
            selector.register(far, selectors.EVENT_READ, near)
            while True:
                for key, _ in selector.select(POLL_S):
                    if self._holds_back(key.fileobj is far):
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


def _reset(one):
    try:
        one.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        one.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It is closed already.
