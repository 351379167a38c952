"""Settings of a stand-in backend server."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.settings import field
from cranberrymux.settings import loader
from cranberrymux.standin import child_settings

_Kind = field.Kind

FIELDS = (
    field.Field("service", _Kind.TEXT, minimum=1, maximum=200),
    field.Field("endpoint", _Kind.TEXT, default="", maximum=200),
    field.Field("port", _Kind.INTEGER, default=0, minimum=0, maximum=65535),
    field.Field("announce_url", _Kind.TEXT, default=""),
    field.Field("egress_url", _Kind.TEXT, default=""),
    field.Field("slots", _Kind.INTEGER, default=16, minimum=1, maximum=10000),
    field.Field("queue_limit", _Kind.INTEGER, default=100, minimum=0),
    field.Field("service_time_ms", _Kind.NUMBER, default=0, minimum=0),
    field.Field(
        "service_time_spread", _Kind.NUMBER, default=0, minimum=0, maximum=1
    ),
    field.Field(
        "children",
        _Kind.MAP_LIST,
        default=[],
        item_fields=(
            field.Field("service", _Kind.TEXT, minimum=1, maximum=200),
            field.Field("count", _Kind.INTEGER, default=1, minimum=1),
        ),
    ),
    field.Field("labels", _Kind.TEXT_MAP, default={}),
    field.Field("cold_start_ms", _Kind.NUMBER, default=0, minimum=0),
    field.Field("cold_factor", _Kind.NUMBER, default=1, minimum=1),
    field.Field("load_lag_ms", _Kind.NUMBER, default=0, minimum=0),
    field.Field("load_bias", _Kind.NUMBER, default=0, minimum=-1, maximum=1),
    field.Field("crash_marker", _Kind.TEXT, default=""),
    field.Field("response_bytes", _Kind.INTEGER, default=0, minimum=0),
    field.Field("settle_ms", _Kind.NUMBER, default=2000, minimum=0),
    field.Field("drain_limit_ms", _Kind.NUMBER, default=10000, minimum=0),
    field.Field("seed", _Kind.INTEGER, default=1),
)


class StandinSettings(NamedTuple):
    """Settings of one stand-in, with the keys of its YAML file.

    Attributes:
        service: Name of the service that it offers.
        endpoint: Name of the endpoint, which answers contain; `SERVICE:PORT` if
            empty.
        port: TCP port on 127.0.0.1; 0 for any free one.
        announce_url: Base URL of the node's announce port; empty without a
            node.
        egress_url: Base URL of the node's egress port, for child calls.
        slots: Number of calls that run at once.
        queue_limit: Number of calls that may wait for a slot; further calls are
            answered with 503.
        service_time_ms: Mean time that a call holds a slot, without its child
            calls.
        service_time_spread: Share of that mean that is exponentially
            distributed, from 0 to 1; 0 for a fixed time.
        children: Services that it calls for each call, in this order.
        labels: Labels of the endpoint, sent with the announcement.
        cold_start_ms: Time after its start during which it is slow.
        cold_factor: Factor of the service times during that time, at least 1.
        load_lag_ms: Age of the load that `GET /load` reports.
        load_bias: Added to the load that `GET /load` reports, from -1 to 1.
        crash_marker: Value of the header `Cranberrymux-Standin-Crash` at which
            the process exits; empty for never.
        response_bytes: Minimum length of the body of a 200 answer.
        settle_ms: Minimum time for which calls are accepted after a drain was
            requested; longer than the node's `drain_grace_ms`.
        drain_limit_ms: Maximum time that a stop waits for calls in flight.
        seed: Seed of the random service times.
    """

    service: str
    endpoint: str
    port: int
    announce_url: str
    egress_url: str
    slots: int
    queue_limit: int
    service_time_ms: float
    service_time_spread: float
    children: tuple[child_settings.ChildSettings, ...]
    labels: Mapping[str, str]
    cold_start_ms: float
    cold_factor: float
    load_lag_ms: float
    load_bias: float
    crash_marker: str
    response_bytes: int
    settle_ms: float
    drain_limit_ms: float
    seed: int


def load(path: str) -> StandinSettings:
    """Loads and checks the settings file of a stand-in.

    Args:
        path: Path of the YAML file.

    Raises:
        SettingsError: The file cannot be read, or a key or value is invalid.
    """
    values = loader.load(path, FIELDS)
    values["children"] = tuple(
        child_settings.ChildSettings(child["service"], child["count"])
        for child in values["children"]
    )
    return StandinSettings(**values)
