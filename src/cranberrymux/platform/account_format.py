"""Decodes the client accounts of the platform's routing configuration.

Errors name row and field, and never a value, since values may be keys.
"""

from collections.abc import Mapping
import math
from typing import Any

from cranberrymux.decisions.accounts import client_account


def decode(row: int, values: Mapping[str, Any]) -> client_account.ClientAccount:
    """Decodes one account.

    Args:
        row: Position in the table, from 0.
        values: Value of each column, without nulls.

    Raises:
        ValueError: A field is missing or invalid.
    """
    name = values.get("name")
    if not isinstance(name, str) or not name:
        raise ValueError(f"tenants row {row}: name: expected a text")
    keys = values.get("api_keys", [])
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        raise ValueError(f"tenants row {row}: api_keys: expected texts")
    priority = values.get("priority")
    if priority is not None and (
        not isinstance(priority, int) or isinstance(priority, bool)
    ):
        raise ValueError(f"tenants row {row}: priority: expected an integer")
    return client_account.ClientAccount(
        name,
        tuple(keys),
        priority,
        _decode_number(row, values, "per_s"),
        _decode_number(row, values, "burst"),
    )


def _decode_number(row: int, values: Mapping[str, Any], field: str) -> float:
    value = values.get(field, 0.0)
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not 0.0 <= value < math.inf
    ):
        raise ValueError(
            f"tenants row {row}: {field}: expected a number of at least 0"
        )
    return float(value)
