"""Converts endpoint records to thrift messages and back."""

from typing import Any

from thrift.protocol import TProtocol

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import socket_address
from cranberrymux.wire.gen.messages import ttypes


def encode_endpoint(record: endpoint_record.EndpointRecord) -> Any:
    """Converts a record to an `Endpoint` message."""
    return ttypes.Endpoint(
        service_name=record.service,
        endpoint_id=record.endpoint_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        address=record.address,
        port=record.port,
        region=record.region,
        zone=record.zone,
        labels=dict(record.labels),
        slots=record.slots,
        state=int(record.state),
        backend_id=record.backend_id or None,
        backend_started_ms=record.backend_started_ms or None,
    )


def decode_endpoint(message: Any) -> endpoint_record.EndpointRecord:
    """Converts an `Endpoint` message to a record.

    Raises:
        ValueError: A required field is missing, the state is not a value of
            `EndpointState`, or port or slots are out of range.
    """
    try:
        message.validate()
    except TProtocol.TProtocolException as error:
        raise ValueError(str(error)) from error
    if not 0 < message.port <= socket_address.MAXIMUM_PORT:
        raise ValueError(f"port {message.port} out of range")
    if message.slots < 1:
        raise ValueError(f"{message.slots} slots")
    return endpoint_record.EndpointRecord(
        service=message.service_name,
        endpoint_id=message.endpoint_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        address=message.address,
        port=message.port,
        region=message.region,
        zone=message.zone,
        labels=dict(message.labels),
        slots=message.slots,
        state=endpoint_state.EndpointState(message.state),
        backend_id=message.backend_id or "",
        backend_started_ms=message.backend_started_ms or 0,
    )
