"""Tables of the platform: names of columns, and a list for each row."""

from collections.abc import Iterator
from typing import Any


def read_rows(table: Any) -> Iterator[dict[str, Any]]:
    """Yields each row as a map from column to value, without nulls.

    Args:
        table: The decoded table; None for one without rows.

    Raises:
        ValueError: It is no table, or a row has another number of values.
    """
    if table is None:
        return
    if not isinstance(table, dict):
        raise ValueError("expected a table of columns and rows")
    columns = _read_columns(table.get("columns"))
    rows = table.get("rows")
    if not isinstance(rows, list):
        raise ValueError("rows: expected a list")
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise ValueError("expected one value for each column")
        pairs = zip(columns, row, strict=True)
        yield {name: value for name, value in pairs if value is not None}


def _read_columns(columns: Any) -> list[str]:
    if not isinstance(columns, list) or not all(
        isinstance(name, str) for name in columns
    ):
        raise ValueError("columns: expected a list of names")
    if len(set(columns)) != len(columns):
        raise ValueError("columns: expected each name once")
    return columns
