"""Processor time and memory of a process, and slopes over them."""

from collections.abc import Sequence
import os
import pathlib

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_processor_s(pid: int) -> float:
    """Returns user and system time of all threads, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def read_memory_bytes(pid: int) -> int:
    """Returns the resident memory."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES


def fit_slope(points: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points (x, y)."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return rise / sum((x - mean_x) ** 2 for x, _ in points)
