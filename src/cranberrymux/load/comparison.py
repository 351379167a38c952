"""Sets two reports of a load side by side."""

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
    """Gives a table: kind, figure, first, second, change in percent."""
    lines = [_line("kind", "figure", "first", "second", "change")]
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
    return _line(kind, name, f"{first:g}", f"{second:g}", change)


def _line(kind: str, name: str, first: str, second: str, change: str) -> str:
    return (
        f"{kind:<20} {name:<20} {first:>12} {second:>12} {change:>9}".rstrip()
    )
