"""Measures the memory of control instances over routes and changes.

Three control instances run as processes on loopback. The configuration has a
number of routes, and each change differs from the one before. Measured are the
largest resident memory of an instance while it serves, after a start from a
full disk, and of one that joins again with an empty disk, and the time until
the configuration can be read after a start. The bound is the stated target,
which holds for every number of changes.
"""

import importlib
import json
import os
import pathlib
import tempfile
import time
from typing import Any

from bench import figure

_fleet: Any = importlib.import_module("tests.platform.fleet")

CASES_VARIABLE = "CONTROL_MEMORY_CASES"
# Pairs of routes and changes.
CASES = "8:200,1050:200,1050:2000,5000:200,5000:2000"
MEMORY_BOUND_MB = 150.0


def run() -> bool:
    """Measures each case; returns True if all bounds hold."""
    bounds_hold = True
    for case in os.environ.get(CASES_VARIABLE, CASES).split(","):
        routes, changes = (int(number) for number in case.split(":"))
        with (
            tempfile.TemporaryDirectory() as folder,
            _fleet.Fleet(pathlib.Path(folder), 3) as fleet,
        ):
            bounds_hold = _measure(fleet, routes, changes) and bounds_hold
    return bounds_hold


def make_body(version: int, routes: int) -> bytes:
    """Returns a configuration in which one route tells the version."""
    rows = [
        [
            f"r-{number:06x}a",
            "app.example",
            f"/p{number:06x}/",
            "safe",
            f"{2000 + (version if number == 5 else 0)}ms",
            "2s",
            0,
            None,
            2,
            "s1",
        ]
        for number in range(routes)
    ]
    values = json.loads(_fleet.configuration(version))
    columns = values["routes"]["columns"]
    body: bytes = _fleet.configuration(
        version, routes={"columns": columns, "rows": rows}
    )
    return body


def change(fleet: Any, first: int, last: int, routes: int) -> None:
    """Applies the versions from `first` to `last`, one after the other."""
    instance = fleet.instances[0]
    for version in range(first, last + 1):
        body = make_body(version, routes)
        is_accepted = False
        while not is_accepted:
            status = instance.put(version, version - 1, body=body)
            is_accepted = status == 200
            if status in (400, 412, 413):
                raise RuntimeError(f"version {version} was answered {status}")
            if not is_accepted:
                position = fleet.instances.index(instance) + 1
                instance = fleet.instances[position % len(fleet.instances)]
                time.sleep(0.02)


def wait_for_version(instance: Any, version: int) -> None:
    """Waits until an instance answers with a version."""
    _fleet.wait_until(lambda: instance.get() == version)


def _peak_mb(fleet: Any) -> float:
    return max(float(instance.peak_mb()) for instance in fleet.instances)


def _measure(fleet: Any, routes: int, changes: int) -> bool:
    name = f"{routes}_routes.{changes}_changes"
    change(fleet, 1, changes, routes)
    peaks = {"serving": _peak_mb(fleet)}
    for instance in fleet.instances:
        instance.kill()
    started_s = time.monotonic()
    for instance in fleet.instances:
        instance.start()
    for instance in fleet.instances:
        wait_for_version(instance, changes)
    start_s = time.monotonic() - started_s
    peaks["full_disk"] = _peak_mb(fleet)
    behind = fleet.instances[0]
    behind.kill()
    behind.wipe()
    behind.start()
    wait_for_version(behind, changes)
    peaks["empty_disk"] = behind.peak_mb()
    figure.Figure(f"control_memory.{name}.start", start_s, "s").print()
    bounds_hold = True
    for when, peak in peaks.items():
        peak_figure = figure.Figure(
            f"control_memory.{name}.{when}", peak, "MB", MEMORY_BOUND_MB
        )
        bounds_hold = peak_figure.print() and bounds_hold
    return bounds_hold
