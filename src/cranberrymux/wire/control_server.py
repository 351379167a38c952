"""The server side of the thrift service Control."""

from typing import Any

from twisted.internet import protocol

from cranberrymux.wire import thrift_server_protocol
from cranberrymux.wire.gen.messages import Control


class ControlServerFactory(protocol.ServerFactory):
    """Creates the protocol of each connection and tracks open connections.

    Attributes:
        processor: Reads calls and writes their answers.
        connections: Protocols of the open connections.
        report_bad_frame: Called with a description of each frame that cannot
            be read.
    """

    noisy = False
    protocol = thrift_server_protocol.ThriftServerProtocol

    def __init__(self, handler: Any, report_bad_frame: Any) -> None:
        """Creates a factory without connections.

        Args:
            handler: Implements `Control.Iface`.
            report_bad_frame: Called with a description, one line, of each frame
                that cannot be read, before its connection is aborted.
        """
        self.processor = Control.Processor(handler)
        self.connections: set[Any] = set()
        self.report_bad_frame = report_bad_frame

    def close_connections(self) -> None:
        """Closes every open connection."""
        for connection in list(self.connections):
            connection.transport.loseConnection()
