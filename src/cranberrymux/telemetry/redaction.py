"""Keeps secrets and bodies out of the logs."""

from collections.abc import Mapping
from typing import Any

import structlog

REDACTED = "redacted"
TEXT_CHARACTERS_MAX = 2000

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
    """Replaces the values of secret names; a structlog processor.

    A name is secret if its last word is: `cluster_key` and
    `Cranberrymux-Key` are, `token_file` and `body_bytes` are not.
    """
    return {name: _redact_value(name, event[name]) for name in event}


def is_secret(name: str) -> bool:
    """True if the values under a name must not be logged."""
    last_word = name.lower().replace("-", "_").rpartition("_")[2]
    return last_word in SECRET_WORDS


def _redact_value(name: str, value: Any) -> Any:
    if is_secret(name):
        return REDACTED
    if isinstance(value, Mapping):
        return {
            str(inner): _redact_value(str(inner), value[inner])
            for inner in value
        }
    if isinstance(value, bytes | bytearray | memoryview):
        return f"{len(value)} bytes"
    if isinstance(value, list | tuple | set | frozenset):
        return [_redact_value("", inner) for inner in value]
    if isinstance(value, str) and len(value) > TEXT_CHARACTERS_MAX:
        return value[:TEXT_CHARACTERS_MAX] + "..."
    return value
