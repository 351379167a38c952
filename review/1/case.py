"""Hundreds of changes of a configuration that has grown by many routes."""

import asyncio
import time

from review.common import case as case_module
from review.common import operator_client
from review.common import processes

SERVICE = "svc-one"
BASE_ROUTES = 8
GROWTHS = 3
ROUTES_PER_GROWTH = 350
# Values of the pages.
MEMORY_MB = 296
RECOVERY_S = 15.0
CHANGES = 900
CHANGING_S = 70.0
# Without an answer for so long, there are no more changes.
MAXIMUM_ANSWER_S = 10.0
RESTART_DELAY_S = 0.5
SAMPLE_S = 0.004


def make_version(version, route_count):
    """Returns a configuration; the timeout of one route tells its version."""
    routes = [
        (
            f"r-{number:06x}a",
            f"/p{number:06x}/",
            "safe",
            f"{2000 + (version if number == 5 else 0)}ms",
            SERVICE,
        )
        for number in range(route_count)
    ]
    return operator_client.make_configuration(version, routes, [SERVICE])


class CoreMachine:
    """Supervises one control instance as the platform does.

    Kills it if it uses more memory than it may, and starts it again.

    Attributes:
        kills: Number of times that it was killed.
        peak_mb: The most memory that it used.
    """

    def __init__(self, case, host, process):
        """Takes a running instance; `watch` supervises it."""
        self._case = case
        self._host = host
        self._process = process
        self.kills = 0
        self.peak_mb = 0.0

    async def watch(self):
        """Samples the memory of the process for good."""
        while True:
            used_mb = self._read_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._process.kill()
                self._process.wait()
                self.kills += 1
                self._case.record(
                    f"core-{self._host} used {used_mb:.0f} MB: killed"
                )
                await asyncio.sleep(RESTART_DELAY_S)
                self._process = self._case.platform.start_control(
                    self._host, is_first_start=False
                )
            await asyncio.sleep(SAMPLE_S)

    def _read_mb(self):
        with open(f"/proc/{self._process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


async def steps(case):
    """Returns True if the newest configuration can be read at the end."""
    operator = case.operator
    instances = await case.start_core(make_version(1, BASE_ROUTES))
    machines = [
        CoreMachine(case, host, process) for host, process in instances.items()
    ]
    watching = [asyncio.create_task(each.watch()) for each in machines]
    route_count = BASE_ROUTES
    acknowledged = 1
    began_s = time.monotonic()
    for version in range(2, CHANGES + 2):
        if time.monotonic() - began_s > CHANGING_S:
            break
        if case.has_trouble and version <= GROWTHS + 1:
            route_count += ROUTES_PER_GROWTH
            case.record(f"the configuration grows to {route_count} routes")
        body = make_version(version, route_count)
        status = await operator.put(body, version - 1, MAXIMUM_ANSWER_S)
        if status != 200:
            break
        acknowledged = version
    if acknowledged < CHANGES // 4:
        raise processes.CannotRunError("too few changes for this machine")
    case.record(f"version {acknowledged} is the newest acknowledged one")
    kills = sum(each.kills for each in machines)
    await asyncio.sleep(RECOVERY_S)
    version = await operator.get_version(10.0)
    for task in watching:
        task.cancel()
    kills_since = sum(each.kills for each in machines) - kills
    peak_mb = max(each.peak_mb for each in machines)
    case.record(
        f"an instance used {peak_mb:.0f} MB at most; killed {kills} times while"
        f" the configuration changed and {kills_since} times after that"
    )
    return version >= acknowledged


case_module.run(steps)
