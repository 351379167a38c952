"""A control instance is replaced as planned; then another loses its disk."""

import asyncio
import signal

from review.common import case as case_module
from review.common import operator_client

ROUTES = [("r-one", "/one/", "safe", "2s", "svc-one")]
OLD, WIPED, NEW = 1, 3, 4
CATCH_UP_S = 4.0  # After it a new or returned machine is no longer lost.
RECOVERY_S = 15.0


def make_version(version):
    """Returns the configuration with a version."""
    return operator_client.make_configuration(version, ROUTES, ["svc-one"])


async def steps(case):
    """Returns True if version 3 can be read after both losses."""
    platform = case.platform
    operator = case.operator
    instances = await case.start_core(make_version(1))
    await asyncio.sleep(CATCH_UP_S)
    if await operator.put(make_version(2), 1, 10.0) != 200:
        return False
    if case.has_trouble:
        case.record("a new core machine starts with an empty disk")
        instances[NEW] = platform.start_control(NEW, is_first_start=False)
        await asyncio.sleep(CATCH_UP_S + 1.0)
        case.record("SIGTERM to the core machine that it replaces")
        operator.addresses = [
            platform.address(host, "control") for host in (2, 3, NEW)
        ]
        instances[OLD].send_signal(signal.SIGTERM)
        instances[OLD].wait()
        case.record(f"it ended with {instances[OLD].returncode}")
    if await operator.put(make_version(3), 2, 10.0) != 200:
        return False
    if case.has_trouble:
        case.record("another core machine loses power and its disk")
        instances[WIPED].kill()
        instances[WIPED].wait()
        platform.wipe_disk(WIPED)
        await asyncio.sleep(1.0)
        case.record("it is back with an empty disk")
        instances[WIPED] = platform.start_control(WIPED, is_first_start=False)
    await asyncio.sleep(RECOVERY_S)
    case.record(f"{RECOVERY_S} s after all are back")
    version = await operator.get_version(20.0)
    await operator.put(make_version(4), 3, 10.0)
    return version >= 3


case_module.run(steps)
