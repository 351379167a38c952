"""Reads a YAML settings file and checks every key against its field."""

from collections.abc import Sequence
import math
import pathlib
import reprlib
from typing import Any

import yaml

from cranberrymux import exceptions
from cranberrymux.models import socket_address
from cranberrymux.settings import field as field_module
from cranberrymux.settings import yaml_loader

# What PyYAML raises for scalars that are not what their tag says.
_CONSTRUCTOR_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
_PYTHON_TYPES: dict[field_module.Kind, tuple[type, ...]] = {
    field_module.Kind.TEXT: (str,),
    field_module.Kind.INTEGER: (int,),
    field_module.Kind.NUMBER: (int, float),
    field_module.Kind.FLAG: (bool,),
    field_module.Kind.TEXT_LIST: (list,),
    field_module.Kind.ADDRESS_LIST: (list,),
    field_module.Kind.TEXT_MAP: (dict,),
    field_module.Kind.MAP_LIST: (list,),
}


def load(path: str, fields: Sequence[field_module.Field]) -> dict[str, Any]:
    """Reads a settings file and checks it.

    Args:
        path: Path of the YAML file.
        fields: All keys that the file may have.

    Returns:
        The value of each field by key, defaults included.

    Raises:
        SettingsError: The file cannot be read, or a key or value is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            path, 1, "(file)", f"a readable file ({error})"
        ) from error
    return load_text(text, path, fields)


def load_text(
    text: str, path: str, fields: Sequence[field_module.Field]
) -> dict[str, Any]:
    """Checks the text of a settings file; see `load`.

    Args:
        text: The YAML text.
        path: Path of the file, for error messages.
        fields: All keys that the text may have.
    """
    try:
        root = yaml.compose(text, Loader=yaml_loader.LOADER)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        raise exceptions.SettingsError(
            path, line, "(file)", "valid YAML"
        ) from error
    return _read_map(root, path, "", fields)


def _read_map(
    node: yaml.Node | None,
    path: str,
    prefix: str,
    fields: Sequence[field_module.Field],
) -> dict[str, Any]:
    if not isinstance(node, yaml.MappingNode):
        line = node.start_mark.line + 1 if node else 1
        raise exceptions.SettingsError(
            path, line, prefix or "(file)", "a map of keys to values"
        )
    known = {field.name: field for field in fields}
    values: dict[str, Any] = {}
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        name = str(key_node.value)
        if name not in known:
            names = ", ".join(sorted(known))
            raise exceptions.SettingsError(
                path, line, prefix + name, f"one of the keys {names}"
            )
        if name in values:
            raise exceptions.SettingsError(
                path, line, prefix + name, "the key once only"
            )
        values[name] = _read_value(value_node, path, prefix, known[name])
    for field in fields:
        if field.name in values:
            continue
        if field.default is field_module.REQUIRED:
            line = node.start_mark.line + 1
            raise exceptions.SettingsError(
                path,
                line,
                prefix + field.name,
                "this key, which has no default",
            )
        values[field.name] = field.default
    return values


def _read_value(
    node: yaml.Node, path: str, prefix: str, field: field_module.Field
) -> Any:
    line = node.start_mark.line + 1
    key = prefix + field.name
    if field.kind is field_module.Kind.MAP_LIST:
        if not isinstance(node, yaml.SequenceNode):
            raise exceptions.SettingsError(path, line, key, describe(field))
        return [
            _read_map(item, path, f"{key}[{index}].", field.item_fields)
            for index, item in enumerate(node.value)
        ]
    constructor = yaml.SafeLoader("")
    try:
        value = constructor.construct_object(node, deep=True)
    except _CONSTRUCTOR_ERRORS as error:
        raise exceptions.SettingsError(
            path, line, key, describe(field)
        ) from error
    if not _is_valid(value, field):
        raise exceptions.SettingsError(
            path, line, key, f"{describe(field)}, not {_show(value)}"
        )
    if field.kind is field_module.Kind.ADDRESS_LIST:
        return [socket_address.parse(item) for item in value]
    return value


def _show(value: Any) -> str:
    try:
        return reprlib.repr(value)
    except ValueError:
        return "an integer of thousands of digits"


def _is_valid(value: Any, field: field_module.Field) -> bool:
    return _has_type(value, field) and _is_in_range(value, field)


def _has_type(value: Any, field: field_module.Field) -> bool:
    if not isinstance(value, _PYTHON_TYPES[field.kind]):
        return False
    if isinstance(value, bool):
        return field.kind is field_module.Kind.FLAG
    if isinstance(value, list):
        is_address = field.kind is field_module.Kind.ADDRESS_LIST
        is_item = _is_address if is_address else _is_text
        return all(is_item(item) for item in value)
    if isinstance(value, dict):
        return all(
            isinstance(text, str) for pair in value.items() for text in pair
        )
    return True


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_address(value: Any) -> bool:
    return isinstance(value, str) and socket_address.parse(value) is not None


def _is_in_range(value: Any, field: field_module.Field) -> bool:
    if field.choices and value not in field.choices:
        return False
    size = value if isinstance(value, (int, float)) else len(value)
    # Large integers have no float to be checked.
    if isinstance(size, float) and not math.isfinite(size):
        return False
    if field.minimum is not None and size < field.minimum:
        return False
    return field.maximum is None or size <= field.maximum


def describe(field: field_module.Field) -> str:
    """Returns the type, unit and range of a field as words."""
    text = f"a {field.kind.value}"
    for suffix, unit in (
        ("_ms", "milliseconds"),
        ("_bytes", "bytes"),
        ("_s", "seconds"),
    ):
        if field.name.endswith(suffix):
            text += f" of {unit}"
            break
    if field.choices:
        text += " out of " + ", ".join(field.choices)
    if field.minimum is not None and field.maximum is not None:
        text += f" from {field.minimum} to {field.maximum}"
    elif field.minimum is not None:
        text += f" of at least {field.minimum}"
    elif field.maximum is not None:
        text += f" of at most {field.maximum}"
    return text
