"""Cuts of links, installed in the process of an instance that hears nothing.

What comes from an address that the marker lists is held back, and handed out
once the cut ends; the connection is closed then, as after a long cut. For this
each process binds its connections to its own address.
"""

import errno
import socket
import threading
import time
import weakref

DEAF = "deaf"
POLL_S = 0.05
# Lets the system choose a port at the time of the connect.
_BIND_ADDRESS_NO_PORT = 24


class LinkFaults:
    """Replacements of methods of `socket.socket` in this process."""

    def __init__(self, markers, own_ip):
        self._markers = markers
        self._own_ip = own_ip
        self._deaf_to = frozenset()
        # Address of the peer and what it sent, by connection.
        self._held = weakref.WeakKeyDictionary()
        self._lock = threading.Lock()
        self._recv = socket.socket.recv
        self._connect_ex = socket.socket.connect_ex

    def install(self):
        """Replaces the methods and follows the marker from now on."""
        recv, connect_ex = self.recv, self.connect_ex

        def recv_of(own, size, *more):
            return recv(own, size, *more)

        def connect_ex_of(own, address):
            return connect_ex(own, address)

        # Functions, since bound methods would not get the socket.
        socket.socket.recv = recv_of
        socket.socket.connect_ex = connect_ex_of
        threading.Thread(target=self._watch, daemon=True).start()

    def recv(self, own, size, *more):
        """Receives, unless the peer is one that this process can't hear."""
        if not self._deaf_to and not self._held:
            return self._recv(own, size, *more)
        peer_ip = self._get_peer_ip(own)
        if peer_ip in self._deaf_to:
            data = self._recv(own, size, *more)
            if not data:
                return data
            with self._lock:
                _, held = self._held.get(own, (peer_ip, b""))
                self._held[own] = (peer_ip, held + data)
            raise BlockingIOError(errno.EWOULDBLOCK, "the link is cut")
        with self._lock:
            _, held = self._held.pop(own, (peer_ip, None))
        return self._recv(own, size, *more) if held is None else held

    def connect_ex(self, own, address):
        """Connects from this process's own address."""
        if address[0].startswith("127.") and own.getsockname()[1] == 0:
            own.setsockopt(socket.IPPROTO_IP, _BIND_ADDRESS_NO_PORT, 1)
            own.bind((self._own_ip, 0))
        return self._connect_ex(own, address)

    def _watch(self):
        while True:
            time.sleep(POLL_S)
            self._deaf_to = frozenset((self._markers.read(DEAF) or "").split())
            with self._lock:
                holding = list(self._held)
            for connection in holding:
                if self._get_peer_ip(connection) not in self._deaf_to:
                    _close_input(connection)

    def _get_peer_ip(self, connection):
        """Returns the peer's address, also once it has reset a held one."""
        with self._lock:
            if connection in self._held:
                return self._held[connection][0]
        try:
            return connection.getpeername()[0]
        except OSError:
            return ""


def _close_input(connection):
    """Wakes the reader: it gets what was held, then the end."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        return  # It is closed already.
