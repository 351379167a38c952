"""Settings file of a load."""

from typing import NamedTuple

from cranberrymux import exceptions
from cranberrymux.load import kind_settings
from cranberrymux.models import socket_address
from cranberrymux.settings import field
from cranberrymux.settings import loader

_Kind = field.Kind

KIND_FIELDS = (
    field.Field("name", _Kind.TEXT, minimum=1, maximum=100),
    field.Field("weight", _Kind.NUMBER, default=1, minimum=0),
    field.Field("method", _Kind.TEXT, default="GET", minimum=1),
    field.Field("path", _Kind.TEXT, default="/", minimum=1),
    field.Field("principal", _Kind.TEXT, default="load", minimum=1),
    field.Field("timeout_ms", _Kind.NUMBER, default=1000, minimum=1),
    field.Field("body_bytes", _Kind.INTEGER, default=0, minimum=0),
    field.Field("headers", _Kind.TEXT_MAP, default={}),
    field.Field("resend_attempts", _Kind.INTEGER, default=0, minimum=0),
    field.Field("impatient", _Kind.FLAG, default=False),
    field.Field("hang_up_share", _Kind.NUMBER, default=0, minimum=0, maximum=1),
    field.Field("hang_up_ms", _Kind.NUMBER, default=0, minimum=0),
)

FIELDS = (
    field.Field("targets", _Kind.TEXT_LIST, default=[]),
    field.Field("rate", _Kind.NUMBER, default=100, minimum=0.01),
    field.Field("seconds", _Kind.NUMBER, default=10, minimum=0.1),
    field.Field(
        "connections", _Kind.INTEGER, default=64, minimum=1, maximum=10000
    ),
    field.Field("grace_s", _Kind.NUMBER, default=10, minimum=0),
    field.Field("late_ms", _Kind.NUMBER, default=500, minimum=0),
    field.Field("precise", _Kind.FLAG, default=False),
    field.Field("seed", _Kind.INTEGER, default=1),
    field.Field("kinds", _Kind.MAP_LIST, item_fields=KIND_FIELDS),
)


class LoadSettings(NamedTuple):
    """Targets, arrival rate and kinds of requests of one load.

    Attributes:
        targets: `ip:port` of each node or backend server, used in turn.
        rate: Mean arrivals per second, over all kinds.
        seconds: Duration of the arrivals.
        connections: Limit of connections to each target.
        grace_s: How long to wait for outstanding responses after the last
            arrival.
        late_ms: How long past its timeout an attempt still accepts a response.
        precise: Busy-waits for each arrival instead of sleeping, which is
            accurate to the microsecond but uses a whole core.
        seed: Seed of arrival times, kinds and ids.
        kinds: The kinds of requests, at least one with a weight above 0.
    """

    targets: tuple[str, ...]
    rate: float
    seconds: float
    connections: int
    grace_s: float
    late_ms: float
    precise: bool
    seed: int
    kinds: tuple[kind_settings.KindSettings, ...]


def load(path: str) -> LoadSettings:
    """Reads and validates the settings file of a load.

    The targets are left to `validate_targets`, as options can replace them.

    Raises:
        SettingsError: The file cannot be read, or has an invalid key or value.
    """
    values = loader.load(path, FIELDS)
    values["targets"] = tuple(values["targets"])
    values["kinds"] = tuple(
        kind_settings.KindSettings(**kind) for kind in values["kinds"]
    )
    if not sum(kind.weight for kind in values["kinds"]):
        raise exceptions.SettingsError(
            path, 1, "kinds", "at least one kind with a weight above 0"
        )
    return LoadSettings(**values)


def validate_targets(settings: LoadSettings, path: str) -> None:
    """Validates the targets after command-line options were applied.

    Args:
        settings: Settings with the options applied.
        path: Path of the settings file, for the error.

    Raises:
        SettingsError: There is no target, or one is not `ip:port`.
    """
    for target in settings.targets or ("",):
        if socket_address.parse(target) is None:
            raise exceptions.SettingsError(
                path, 1, "targets", f"a list of ip:port, not {target!r}"
            )
