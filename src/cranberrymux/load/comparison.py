"""Compares the reports of two loads."""

from typing import Any

from cranberrymux.load import report

_COUNTS = (
    "sent",
    "done",
    "failed",
    "not_run",
    "unknown",
    "wrong",
    "cut",
    "hung_up",
    "done_late",
    "attempts_per_request",
)
_LATENCIES = ("p50", "p99", "p99_9")


def compare(first: report.LoadReport, second: report.LoadReport) -> str:
    """Returns a text table of the figures of both reports.

    The columns are kind, figure, first, second and the change in percent. The
    total comes first; kinds in only one of the reports are named at the end.
    """
    lines = [_format_row("kind", "figure", "first", "second", "change")]
    kinds = sorted(set(first["kinds"]) & set(second["kinds"]))
    lines += _compare_kind("total", first["total"], second["total"])
    for kind in kinds:
        lines += _compare_kind(
            kind, first["kinds"][kind], second["kinds"][kind]
        )
    for kind in sorted(set(first["kinds"]) ^ set(second["kinds"])):
        lines.append(f"{kind}: in one report only")
    return "\n".join(lines)


def _compare_kind(kind: str, first: Any, second: Any) -> list[str]:
    lines = [
        _compare_figure(kind, name, first[name], second[name])
        for name in _COUNTS
    ]
    for group in ("latency_ms", "wire_ms", "refusal_ms"):
        lines += [
            _compare_figure(
                kind, f"{group} {name}", first[group][name], second[group][name]
            )
            for name in _LATENCIES
        ]
    return lines


def _compare_figure(kind: str, name: str, first: float, second: float) -> str:
    change = f"{(second - first) / first:+.1%}" if first else ""
    return _format_row(kind, name, f"{first:g}", f"{second:g}", change)


def _format_row(
    kind: str, name: str, first: str, second: str, change: str
) -> str:
    return (
        f"{kind:<20} {name:<20} {first:>12} {second:>12} {change:>9}".rstrip()
    )
