"""A small TCP relay that can cut a link without a sign."""

import contextlib
import selectors
import socket
import threading


class Link:
    """Connections from one instance to another."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.is_cut = False
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]


class Relay(threading.Thread):
    """Forwards bytes; of a cut link nothing is read, and nothing is closed.

    What was under way when a link was cut arrives, late, once it is healed.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self._selector = selectors.DefaultSelector()
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._links = []

    def add(self, target_port):
        link = Link(target_port)
        self._links.append(link)
        self._selector.register(
            link.listener, selectors.EVENT_READ, (link, None)
        )
        return link

    def run(self):
        while not self._stopped.is_set():
            is_idle = True
            for key, _ in self._selector.select(0.05):
                link, other = key.data
                if link.is_cut:
                    continue
                is_idle = False
                if other is None:
                    self._accept(link)
                else:
                    self._forward(link, key.fileobj, other)
            if is_idle:
                self._stopped.wait(0.002)

    def stop(self):
        self._stopped.set()
        self.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _accept(self, link):
        one, _ = link.listener.accept()
        try:
            other = socket.create_connection(
                ("127.0.0.1", link.target_port), 1.0
            )
        except OSError:
            one.close()
            return
        for end, opposite in ((one, other), (other, one)):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end.settimeout(1.0)
            self._selector.register(end, selectors.EVENT_READ, (link, opposite))

    def _forward(self, link, one, other):
        data = b""
        with contextlib.suppress(OSError):
            data = one.recv(1 << 16)
            if data:
                other.sendall(data)
                return
        for end in (one, other):
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(end)
            end.close()
