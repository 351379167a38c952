"""Reads a process's processor time and memory, and fits their growth."""

from collections.abc import Sequence
import os
import pathlib

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_processor_s(pid: int) -> float:
    """Returns the user and system time of all threads in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES


def fit_slope(points: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points (x, y).

    Args:
        points: Two or more points with different x.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance_sum / sum((x - mean_x) ** 2 for x, _ in points)
