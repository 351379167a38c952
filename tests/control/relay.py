"""A TCP relay that can silently partition links between instances."""

import contextlib
import selectors
import socket
import threading


class Link:
    """A listener whose connections are forwarded to one target port."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.is_cut = False
        self.silenced = frozenset()
        self.connections = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    def silence(self):
        """Holds back all bytes of the open connections, for good.

        None is closed, and later connections work.
        """
        self.silenced |= frozenset(self.connections)


class Relay(threading.Thread):
    """Forwards bytes between the links' connections and their targets.

    While a link is cut nothing is read from it and nothing is closed; bytes
    that were in transit arrive late, once the link is healed.
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
                link, opposite = key.data
                if link.is_cut or key.fileobj in link.silenced:
                    continue
                is_idle = False
                if opposite is None:
                    self._accept(link)
                else:
                    self._forward(link, key.fileobj, opposite)
            if is_idle:
                self._stopped.wait(0.002)

    def stop(self):
        self._stopped.set()
        self.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _accept(self, link):
        client, _ = link.listener.accept()
        try:
            target = socket.create_connection(
                ("127.0.0.1", link.target_port), 1.0
            )
        except OSError:
            client.close()
            return
        for end, opposite in ((client, target), (target, client)):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end.settimeout(1.0)
            self._selector.register(end, selectors.EVENT_READ, (link, opposite))
            link.connections.add(end)

    def _forward(self, link, source, target):
        data = b""
        with contextlib.suppress(OSError):
            data = source.recv(1 << 16)
            if data:
                target.sendall(data)
                return
        for end in (source, target):
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(end)
            end.close()
