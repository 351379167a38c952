"""Blocking client of the thrift service of control instances."""

import socket

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TApplicationException
from thrift.Thrift import TMessageType
from thrift.transport import TSocket
from thrift.transport import TTransport

from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes
from tests.control import cluster


def call(
    port,
    name,
    message,
    key=cluster.CLUSTER_KEY,
    timeout_s=4.0,
    host="127.0.0.1",
):
    """Makes one call on a connection of its own.

    Raises:
        Refused: The instance refused the call.
        OSError: No connection, or no answer within `timeout_s`.
        TTransportException: As `OSError`, or the instance closed the
            connection.
    """
    sock = TSocket.TSocket(host, port)
    sock.setTimeout(timeout_s * 1000)
    transport = TTransport.TFramedTransport(sock)
    transport.open()
    try:
        protocol = TBinaryProtocol.TBinaryProtocol(transport)
        arguments = getattr(Control, f"{name}_args")(key, message)
        protocol.writeMessageBegin(name, TMessageType.CALL, 1)
        arguments.write(protocol)
        protocol.writeMessageEnd()
        transport.flush()
        _, kind, _ = protocol.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            error.read(protocol)
            raise error
        result = getattr(Control, f"{name}_result")()
        result.read(protocol)
        if result.refused is not None:
            raise result.refused
        return result.success
    finally:
        transport.close()


def try_call(port, name, message, **options):
    """Like `call`, but returns None if there is no answer."""
    try:
        return call(port, name, message, **options)
    except (OSError, TTransport.TTransportException, EOFError):
        return None


def make_endpoint(node_id="n1", incarnation=1, sequence=1, state=1):
    return ttypes.Endpoint(
        service_name="crew-dispatch",
        endpoint_id=node_id,
        incarnation=incarnation,
        sequence=sequence,
        address="127.0.0.1",
        port=9000,
        region="cascadia",
        zone="a",
        labels={"store": "x"},
        slots=70,
        state=state,
    )


def make_heartbeat(node_id="n1", incarnation=1, version=0, **fields):
    defaults = {
        "endpoints": [make_endpoint(node_id, incarnation)],
        "services": ["crew-dispatch"],
        "directory_revision": 0,
        "directory_epoch": "",
    }
    return ttypes.Heartbeat(
        node_id=node_id,
        incarnation=incarnation,
        configuration_version=version,
        **{**defaults, **fields},
    )


def make_claim(request_id, owner="n1", claim_id="c1", **fields):
    defaults = {
        "call_id": "1",
        "body_digest": "digest",
        "owner_incarnation": 1,
        "principal": "ann",
    }
    return ttypes.ClaimRequest(
        request_id=request_id,
        owner=owner,
        claim_id=claim_id,
        **{**defaults, **fields},
    )


def make_settlement(
    request_id, owner="n1", claim_id="c1", status=201, body=b"ok"
):
    return ttypes.SettleRequest(
        request_id=request_id,
        call_id="1",
        owner=owner,
        owner_incarnation=1,
        status=status,
        body=body,
        claim_id=claim_id,
    )


def send_raw(port, data):
    """Sends bytes; returns those received until the peer closes."""
    with socket.create_connection(("127.0.0.1", port), 4.0) as sock:
        sock.sendall(data)
        received = b""
        while chunk := sock.recv(4096):
            received += chunk
        return received
