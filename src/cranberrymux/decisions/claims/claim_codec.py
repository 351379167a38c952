"""Converts claim entries to values that JSON can hold, and back."""

import base64
from collections.abc import Iterable
from typing import Any

from cranberrymux.decisions.claims import claim as claim_module
from cranberrymux.decisions.claims import claim_entry


def dump_entries(
    entries: Iterable[claim_entry.ClaimEntry],
) -> list[list[Any]]:
    """Returns entries as values that JSON can hold."""
    return [_dump_entry(entry) for entry in entries]


def load_entries(rows: Iterable[list[Any]]) -> list[claim_entry.ClaimEntry]:
    """Returns the entries of rows made by `dump_entries`."""
    return [_load_entry(*row) for row in rows]


def _dump_entry(entry: claim_entry.ClaimEntry) -> list[Any]:
    body = None
    if entry.body is not None:
        body = base64.b64encode(entry.body).decode()
    return [
        list(entry.claim),
        entry.granted_ms,
        entry.state.value,
        entry.status,
        body,
    ]


def _load_entry(
    claimed: list[Any],
    granted_ms: int,
    state: str,
    status: int,
    body: str | None,
) -> claim_entry.ClaimEntry:
    return claim_entry.ClaimEntry(
        claim_module.Claim(*claimed),
        granted_ms,
        claim_entry.ClaimState(state),
        status,
        None if body is None else base64.b64decode(body),
    )
