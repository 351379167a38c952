"""Parses and validates the YAML text of a configuration document."""

from typing import Any

import yaml

from cranberrymux import exceptions
from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_fields
from cranberrymux.decisions.configuration import document_lines
from cranberrymux.decisions.configuration import request_class
from cranberrymux.decisions.configuration import selector_rule
from cranberrymux.decisions.configuration import service_settings
from cranberrymux.decisions.selectors import parser
from cranberrymux.decisions.selectors import selector
from cranberrymux.decisions.selectors import selector_error
from cranberrymux.settings import loader
from cranberrymux.settings import yaml_loader

MAXIMUM_DOCUMENT_BYTES = 262_144
MAXIMUM_NESTING_LEVELS = 8
EMPTY_DOCUMENT = "classes:\n  - name: default\n    protected: true\n"


class _InvalidValueError(Exception):
    """Stops validation at the first fault; `parse` catches it."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__()
        self.key = key
        self.expected = expected


def parse(
    text: str,
) -> document.Document | document_error.DocumentError:
    """Parses and validates a document; never raises.

    Args:
        text: The document as YAML. The empty text, which is the document of
            version 0, stands for `EMPTY_DOCUMENT`.

    Returns:
        The document, or the location of its first fault.
    """
    unsafe = _find_unsafe_yaml(text)
    if unsafe is not None:
        return unsafe
    text = text or EMPTY_DOCUMENT
    try:
        values = loader.load_text(text, "", document_fields.FIELDS)
        return _build_document(values)
    except exceptions.SettingsError as error:
        return document_error.DocumentError(
            error.line, error.key, error.expected
        )
    except _InvalidValueError as error:
        line = document_lines.find(text, error.key)
        return document_error.DocumentError(line, error.key, error.expected)


def _find_unsafe_yaml(text: str) -> document_error.DocumentError | None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError:
        return document_error.DocumentError(
            1, "(file)", "text that UTF-8 can encode"
        )
    if size > MAXIMUM_DOCUMENT_BYTES:
        return document_error.DocumentError(
            1, "(file)", f"at most {MAXIMUM_DOCUMENT_BYTES} bytes"
        )
    depth = 0
    try:
        # Parses event by event to reject deep nesting early: the scanner's
        # time grows with the square of the depth.
        for event in yaml.parse(text, Loader=yaml_loader.LOADER):
            if isinstance(event, yaml.CollectionStartEvent):
                depth += 1
            elif isinstance(event, yaml.CollectionEndEvent):
                depth -= 1
            if depth > MAXIMUM_NESTING_LEVELS:
                return document_error.DocumentError(
                    _get_line(event), "(file)", "less nesting"
                )
            if isinstance(event, yaml.AliasEvent):
                return document_error.DocumentError(
                    _get_line(event), "(file)", "no YAML aliases"
                )
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        is_too_deep = "nesting depth" in (getattr(error, "problem", None) or "")
        expected = "less nesting" if is_too_deep else "valid YAML"
        return document_error.DocumentError(line, "(file)", expected)
    return None


def _get_line(event: yaml.Event) -> int:
    return event.start_mark.line + 1 if event.start_mark else 1


def _build_document(values: dict[str, Any]) -> document.Document:
    _check_item_counts(values)
    for key in ("classes", "selectors", "services"):
        _check_unique_names(key, values[key])
    classes = tuple(
        request_class.RequestClass(item["name"], rank, item["protected"])
        for rank, item in enumerate(values["classes"])
    )
    ranks = {rule.name: rule.rank for rule in classes}
    default_service = service_settings.ServiceSettings(
        "",
        values["default_retry_budget"],
        values["default_timeout_ms"],
        0,
        0,
    )
    services = {
        item["name"]: _build_service(item, default_service)
        for item in values["services"]
    }
    selectors = tuple(
        _build_selector(f"selectors[{index}]", item, ranks)
        for index, item in enumerate(values["selectors"])
    )
    default_class = values["default_class"]
    return document.Document(
        classes,
        selectors,
        services,
        default_service,
        classes[-1].rank
        if default_class is None
        else _find_class_rank("default_class", default_class, ranks),
        values["strict_age_ms"],
    )


def _check_item_counts(values: dict[str, Any]) -> None:
    for field in document_fields.FIELDS:
        if not field.item_fields:
            continue
        count = len(values[field.name])
        if field.minimum is not None and count < field.minimum:
            raise _InvalidValueError(
                field.name, f"at least {field.minimum} items"
            )
        if field.maximum is not None and count > field.maximum:
            raise _InvalidValueError(
                field.name, f"at most {field.maximum} items"
            )


def _check_unique_names(key: str, items: list[dict[str, Any]]) -> None:
    seen: set[str] = set()
    for index, item in enumerate(items):
        if item["name"] in seen:
            raise _InvalidValueError(f"{key}[{index}].name", "a unique name")
        seen.add(item["name"])


def _build_service(
    item: dict[str, Any], default: service_settings.ServiceSettings
) -> service_settings.ServiceSettings:
    retry_budget = item["retry_budget"]
    timeout_ms = item["timeout_ms"]
    return service_settings.ServiceSettings(
        item["name"],
        default.retry_budget if retry_budget is None else retry_budget,
        default.timeout_ms if timeout_ms is None else timeout_ms,
        item["limit_cap"],
        item["queue_cap"],
    )


def _build_selector(
    key: str, item: dict[str, Any], ranks: dict[str, int]
) -> selector_rule.SelectorRule:
    if item["once_only"] and item["idempotent"]:
        raise _InvalidValueError(
            f"{key}.idempotent", "false where once_only is true"
        )
    match = _parse_selector(f"{key}.match", item["match"])
    place = None
    if item["place"] is not None:
        place = _parse_selector(f"{key}.place", item["place"])
    class_rank = None
    if item["class"] is not None:
        class_rank = _find_class_rank(f"{key}.class", item["class"], ranks)
    return selector_rule.SelectorRule(
        item["name"],
        match,
        class_rank,
        item["once_only"],
        item["idempotent"],
        place,
        item["strict"],
    )


def _parse_selector(key: str, text: str) -> selector.Selector:
    parsed = parser.parse(text)
    if isinstance(parsed, selector_error.SelectorError):
        raise _InvalidValueError(
            key, f"{parsed.expected} at column {parsed.column} of {text!r}"
        )
    return parsed


def _find_class_rank(key: str, name: str, ranks: dict[str, int]) -> int:
    if name not in ranks:
        names = ", ".join(ranks)
        raise _InvalidValueError(
            key, f"one of the classes {names}, not {name!r}"
        )
    return ranks[name]
