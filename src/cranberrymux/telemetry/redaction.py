"""Replaces secrets and bodies in log lines."""

from collections.abc import Mapping
from typing import Any

import structlog

REDACTED = "redacted"
MAXIMUM_TEXT_CHARACTERS = 2000

SECRET_WORDS = frozenset(
    {
        "authorization",
        "body",
        "bodies",
        "cookie",
        "credential",
        "credentials",
        "key",
        "password",
        "payload",
        "secret",
        "token",
    }
)


def redact(
    _logger: Any, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Replaces the values of secret fields; a structlog processor.

    A field is secret if the last word of its name is in `SECRET_WORDS`:
    `cluster_key` and `Cranberrymux-Key` are, `token_file` and `body_bytes` are
    not. Bytes are replaced by their number, and long texts are truncated.
    """
    return {name: _redact_value(name, event[name]) for name in event}


def is_secret(name: str) -> bool:
    """Returns whether the value of a field of this name must not be logged."""
    last_word = name.lower().replace("-", "_").rpartition("_")[2]
    return last_word in SECRET_WORDS


def _redact_value(name: str, value: Any) -> Any:
    if is_secret(name):
        return REDACTED
    if isinstance(value, Mapping):
        return {str(key): _redact_value(str(key), value[key]) for key in value}
    if isinstance(value, bytes | bytearray | memoryview):
        return f"{len(value)} bytes"
    if isinstance(value, list | tuple | set | frozenset):
        return [_redact_value("", item) for item in value]
    if isinstance(value, str) and len(value) > MAXIMUM_TEXT_CHARACTERS:
        return value[:MAXIMUM_TEXT_CHARACTERS] + "..."
    return value
