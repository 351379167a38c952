"""Which version of its settings file a process runs, and what has changed."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import hashlib
import json
from typing import Any
from typing import NamedTuple

import structlog

from cranberrymux import exceptions

DIGEST_DIGITS = 12
_MAXIMUM_VALUE_CHARACTERS = 80
_MAXIMUM_CHANGES_LOGGED = 20
_ABSENT = "absent"


class SettingChange(NamedTuple):
    """A key of which two versions of a settings file differ.

    Attributes:
        key: Path of the key, its parts joined by dots.
        old: The value before as text, shortened; `absent` without one.
        new: The value now.
    """

    key: str
    old: str
    new: str


class SettingsWatch:
    """Compares the settings file with what the process has read before.

    Attributes:
        values: Content of the file when it could last be read.
        digest: Digest of the values: equal on instances with equal files.
        since_unix_ms: Unix milliseconds at which they were first read.
    """

    def __init__(
        self,
        read: Callable[[], Mapping[str, Any]],
        values: Mapping[str, Any],
        now_unix_ms: int,
        applied_keys: frozenset[str] = frozenset(),
    ) -> None:
        """Starts with the values that the process was started with.

        Args:
            read: Reads the file; raises `SettingsError` if it cannot.
            values: Content of the file at the start.
            now_unix_ms: Present Unix time in milliseconds.
            applied_keys: Keys whose changes take effect without a restart.
        """
        self._read = read
        self._applied_keys = applied_keys
        self.values = values
        self.digest = make_digest(values)
        self.since_unix_ms = now_unix_ms

    def check(self, now_unix_ms: int) -> bool:
        """Reads the file again and logs what has changed.

        Args:
            now_unix_ms: Present Unix time in milliseconds.

        Returns:
            True if the values have changed. They stay as they are if the file
            cannot be read, for example because it is being written.
        """
        events = structlog.get_logger()
        try:
            values = self._read()
        except exceptions.SettingsError as error:
            events.warning("settings-not-read", detail=str(error))
            return False
        changes = find_changes(self.values, values)
        if not changes:
            return False
        previous_digest = self.digest
        self.values = values
        self.digest = make_digest(values)
        self.since_unix_ms = now_unix_ms
        shown = changes[:_MAXIMUM_CHANGES_LOGGED]
        events.info(
            "settings-changed",
            digest=self.digest,
            previous_digest=previous_digest,
            count=len(changes),
            changes=[
                f"{change.key}: {change.old} -> {change.new}"
                for change in shown
            ],
            after_restart=[
                change.key
                for change in shown
                if change.key not in self._applied_keys
            ],
        )
        return True


def make_digest(values: Mapping[str, Any]) -> str:
    """Returns a digest of the content of a settings file."""
    text = json.dumps(values, sort_keys=True, default=str)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def find_changes(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[SettingChange, ...]:
    """Returns the keys that differ, in alphabetical order."""
    old_values = dict(_flatten(old, ""))
    new_values = dict(_flatten(new, ""))
    return tuple(
        SettingChange(
            key,
            _describe(old_values, key),
            _describe(new_values, key),
        )
        for key in sorted(old_values.keys() | new_values.keys())
        if old_values.get(key, _ABSENT) != new_values.get(key, _ABSENT)
    )


def _flatten(values: Mapping[str, Any], path: str) -> Iterator[tuple[str, Any]]:
    for key, value in values.items():
        full_key = f"{path}.{key}" if path else key
        if isinstance(value, Mapping):
            yield from _flatten(value, full_key)
        else:
            yield full_key, value


def _describe(values: Mapping[str, Any], key: str) -> str:
    if key not in values:
        return _ABSENT
    text = json.dumps(values[key], default=str)
    if len(text) > _MAXIMUM_VALUE_CHARACTERS:
        return text[:_MAXIMUM_VALUE_CHARACTERS] + "..."
    return text
