"""Runs one case: its record, its exit code and the end of its processes."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

from review.common import operator_client
from review.common import processes

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
MAXIMUM_S = 115.0


class Case:
    """What the steps of a case share.

    Attributes:
        platform: The deployment.
        operator: The operator.
        has_trouble: False if the disruption is left out.
    """

    def __init__(self, platform, record_file):
        """Starts the time of the record."""
        self.platform = platform
        self.has_trouble = os.environ.get("TROUBLE") != "0"
        self._began_s = time.monotonic()
        self._record_file = record_file
        self.operator = operator_client.Operator(platform.seeds, self.record)

    def record(self, text):
        """Writes a line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._began_s
        line = f"{elapsed_s:8.3f} {text}"
        print(line, file=self._record_file, flush=True)

    async def start_core(self, configuration):
        """Starts three control instances and applies a configuration."""
        instances = {}
        for host in (1, 2, 3):
            instances[host] = self.platform.start_control(
                host, is_first_start=True
            )
        if await self.operator.put(configuration, 0, 20.0) != 200:
            raise processes.CannotRunError(
                "the first configuration was not taken"
            )
        return instances


def run(steps):
    """Runs `await steps(case)`, which returns True if the rule held.

    Ends this process with the exit code of the case.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    with open(folder / "record.txt", "w", encoding="utf-8") as record_file:
        exit_code = _run(steps, record_file)
    # Without waiting for the tasks of the stand-ins.
    os._exit(exit_code)


def _run(steps, record_file):
    platform = None
    # Not closed, so that nothing waits for open connections of the stand-ins.
    loop = asyncio.new_event_loop()
    try:
        platform = processes.Platform()
        case = Case(platform, record_file)
        case.record(f"disruption: {'yes' if case.has_trouble else 'no'}")
        held = loop.run_until_complete(asyncio.wait_for(steps(case), MAXIMUM_S))
        case.record("the rule held" if held else "THE RULE WAS BROKEN")
        return HELD if held else BROKEN
    except Exception:  # Whatever it is, it says nothing of the rule.
        print(f"cannot run: {traceback.format_exc()}", file=record_file)
        return CANNOT_RUN
    finally:
        if platform is not None:
            platform.end()
