"""Report on the load of an endpoint, as answers between nodes carry it."""

import re
from typing import NamedTuple

from cranberrymux.gateway import hop
from cranberrymux.models import endpoint_speed
from cranberrymux.models import whole_number
from cranberrymux.node.http import headers as headers_module

# Numbers separated by slashes; later versions may append further ones.
_NUMBER = rb"([0-9]{1,%d})" % whole_number.MAXIMUM_DIGITS
_THREE_NUMBERS = re.compile(b"/".join([_NUMBER] * 3) + b"(?:/.*)?", re.DOTALL)
_FOUR_NUMBERS = re.compile(b"/".join([_NUMBER] * 4) + b"(?:/.*)?", re.DOTALL)


class LoadReport(NamedTuple):
    """Load and health of an endpoint, as reported by its node.

    Attributes:
        requests: Number of requests that run or wait there.
        failure_rate: Share of recent requests that it failed by itself, 0 to 1.
        slowness: Ratio of its present to its usual working times.
        speed: Its speed; None before it is known.
    """

    requests: int
    failure_rate: float
    slowness: float = 1.0
    speed: endpoint_speed.EndpointSpeed | None = None


def encode_load(requests: int, failure_rate: float, slowness: float) -> bytes:
    """Encodes load as `requests/per mille failing/percent slowness`."""
    return b"%d/%.0f/%.0f" % (requests, failure_rate * 1000, slowness * 100)


def encode_speed(speed: endpoint_speed.EndpointSpeed) -> bytes:
    """Encodes speed as the numbers that `_decode_speed` reads.

    They are `slots/microseconds of work/percent of the time in a slot that is
    work/percent present slowness`.
    """
    return b"%d/%.0f/%.0f/%.0f" % (
        speed.slots,
        speed.work_s * 1e6,
        speed.work_share * 100,
        speed.present_slowness * 100,
    )


def decode_load(headers: headers_module.HeaderList) -> LoadReport | None:
    """Decodes the report; None if it is missing or invalid.

    Further numbers, of later versions, are ignored.
    """
    first = headers_module.index(headers)
    found = _THREE_NUMBERS.fullmatch(first.get(hop.LOAD, b""))
    if found is None:
        return None
    requests, failing, slowness = map(int, found.groups())
    speed = _decode_speed(first.get(hop.SPEED, b""))
    return LoadReport(requests, failing / 1000, slowness / 100, speed)


def _decode_speed(value: bytes) -> endpoint_speed.EndpointSpeed | None:
    found = _FOUR_NUMBERS.fullmatch(value)
    if found is None:
        return None
    slots, work_us, work_percent, slow_percent = map(int, found.groups())
    if not work_us or not slow_percent or work_percent > 100:
        return None
    return endpoint_speed.EndpointSpeed(
        slots, work_us / 1e6, work_percent / 100, slow_percent / 100
    )
