"""Settings of the report on service-level burn."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cranberrymux import exceptions
from cranberrymux.decisions.burn import alert_window_pair
from cranberrymux.decisions.burn import objective
from cranberrymux.decisions.burn import outcome_series
from cranberrymux.settings import field
from cranberrymux.settings import loader
from cranberrymux.telemetry import outcome_count

_Kind = field.Kind

DAY_S = 86400

OBJECTIVE_FIELDS = (
    field.Field("service", _Kind.TEXT, minimum=1, maximum=200),
    field.Field("class", _Kind.TEXT, default=objective.ANY, minimum=1),
    field.Field(
        "target_share", _Kind.NUMBER, minimum=0.000001, maximum=0.999999
    ),
    field.Field("window_s", _Kind.INTEGER, default=30 * DAY_S, minimum=60),
    field.Field("latency_ms", _Kind.NUMBER, default=0, minimum=0),
)

WINDOW_FIELDS = (
    field.Field("long_s", _Kind.INTEGER, minimum=20),
    field.Field("short_s", _Kind.INTEGER, minimum=10),
    field.Field("rate_threshold", _Kind.NUMBER, minimum=0.000001),
    field.Field("requests_min", _Kind.INTEGER, default=1, minimum=1),
)

FIELDS = (
    field.Field("outcomes", _Kind.TEXT_LIST, default=[]),
    field.Field(
        "objectives", _Kind.MAP_LIST, minimum=1, item_fields=OBJECTIVE_FIELDS
    ),
    field.Field(
        "windows", _Kind.MAP_LIST, default=[], item_fields=WINDOW_FIELDS
    ),
    field.Field("plots", _Kind.INTEGER, default=20, minimum=0, maximum=500),
)


class ReportSettings(NamedTuple):
    """The files that the report reads and the objectives it evaluates.

    Attributes:
        outcomes: Paths of files and folders of recorded outcomes, at least
            one.
        objectives: The service-level objectives, at least one.
        windows: Pairs of windows for burn rates, at least one.
        plots: Maximum number of objectives that the HTML page plots, the
            worst first.
    """

    outcomes: tuple[str, ...]
    objectives: tuple[objective.Objective, ...]
    windows: tuple[alert_window_pair.AlertWindowPair, ...]
    plots: int


def load(path: str, outcomes: Sequence[str] = ()) -> ReportSettings:
    """Reads and checks the settings file of the report.

    Args:
        path: Path of the YAML file.
        outcomes: Paths of recorded outcomes that replace those in the file,
            unless empty.

    Raises:
        SettingsError: The file cannot be read or a setting is not valid.
    """
    values = loader.load(path, FIELDS)
    settings = ReportSettings(
        tuple(outcomes or values["outcomes"]),
        tuple(_read_objective(item) for item in values["objectives"]),
        tuple(
            alert_window_pair.AlertWindowPair(**item)
            for item in values["windows"]
        )
        or alert_window_pair.DEFAULTS,
        values["plots"],
    )
    _check(settings, path)
    return settings


def _read_objective(values: dict[str, Any]) -> objective.Objective:
    return objective.Objective(
        values["service"],
        values["class"],
        values["target_share"],
        values["window_s"],
        values["latency_ms"] or None,
    )


def _check(settings: ReportSettings, path: str) -> None:
    if not settings.outcomes:
        raise exceptions.SettingsError(
            path, 1, "outcomes", "at least one file or folder"
        )
    if not settings.objectives:
        raise exceptions.SettingsError(
            path, 1, "objectives", "at least one objective"
        )
    for index, checked in enumerate(settings.objectives):
        _check_objective(checked, path, f"objectives[{index}]")
    for index, window in enumerate(settings.windows):
        _check_window(window, path, f"windows[{index}]")


def _check_objective(checked: objective.Objective, path: str, key: str) -> None:
    bounds = outcome_count.LATENCY_BOUNDS_MS
    if checked.latency_ms is not None and checked.latency_ms not in bounds:
        allowed_values = ", ".join(str(bound) for bound in bounds)
        raise exceptions.SettingsError(
            path, 1, f"{key}.latency_ms", f"one of {allowed_values}"
        )
    _check_length(checked.window_s, path, f"{key}.window_s")


def _check_window(
    window: alert_window_pair.AlertWindowPair, path: str, key: str
) -> None:
    _check_length(window.long_s, path, f"{key}.long_s")
    _check_length(window.short_s, path, f"{key}.short_s")
    if window.short_s >= window.long_s:
        raise exceptions.SettingsError(
            path, 1, f"{key}.short_s", "less than long_s"
        )


def _check_length(length_s: int, path: str, key: str) -> None:
    if length_s % outcome_series.BUCKET_S:
        raise exceptions.SettingsError(
            path,
            1,
            key,
            f"a multiple of {outcome_series.BUCKET_S} seconds",
        )
