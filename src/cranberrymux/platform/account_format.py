"""Decodes the client accounts of the platform's routing configuration.

Errors name the field, and never a value, since values may be keys.
"""

from collections.abc import Mapping
from typing import Any

from cranberrymux.decisions.accounts import client_account
from cranberrymux.models import json_fields


def decode(values: Mapping[str, Any]) -> client_account.ClientAccount:
    """Decodes one account.

    Args:
        values: Value of each column, without nulls.

    Raises:
        ValueError: A field is missing or invalid.
    """
    keys = values.get("api_keys", [])
    if not isinstance(keys, list) or not all(
        map(json_fields.is_usable_text, keys)
    ):
        raise ValueError("api_keys: expected texts")
    priority = None
    if "priority" in values:
        priority = json_fields.read_integer(
            values, "priority", minimum=-json_fields.MAXIMUM_INTEGER
        )
    return client_account.ClientAccount(
        json_fields.read_text(values, "name"),
        tuple(keys),
        priority,
        json_fields.read_number(values, "per_s", 0.0),
        json_fields.read_number(values, "burst", 0.0),
    )
