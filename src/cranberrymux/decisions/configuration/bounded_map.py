"""Map that drops its oldest items beyond a number and a size."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class BoundedMap(Generic[_Key, _Value]):
    """The last items that were added, within a number and a size.

    What stays depends on the last items only: maps to which the same items
    were added hold the same, even if one of them was rebuilt from the items of
    another in between.
    """

    def __init__(
        self,
        maximum_items: int,
        maximum_size: int,
        size_of: Callable[[_Key, _Value], int],
    ) -> None:
        """Creates an empty map.

        Args:
            maximum_items: Most items, 1 or more.
            maximum_size: Largest size of all items but the newest, which stays
                whatever its size.
            size_of: Returns the size of an item.
        """
        self._maximum_items = maximum_items
        self._maximum_size = maximum_size
        self._size_of = size_of
        self._items: collections.OrderedDict[_Key, _Value] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of items."""
        return len(self._items)

    def __iter__(self) -> Iterator[_Key]:
        """Returns the keys, oldest first."""
        return iter(self._items)

    def get(self, key: _Key) -> _Value | None:
        """Returns the value of a key; None if it is not kept."""
        return self._items.get(key)

    def items(self) -> list[tuple[_Key, _Value]]:
        """Returns all keys and values, oldest first."""
        return list(self._items.items())

    def clear(self) -> None:
        """Drops all items."""
        self._items.clear()
        self._size = 0

    def add(self, key: _Key, value: _Value) -> None:
        """Adds an item with a new key, and drops the oldest beyond a limit."""
        size_before = self._size
        self._items[key] = value
        self._size += self._size_of(key, value)
        while (
            len(self._items) > self._maximum_items
            or size_before > self._maximum_size
        ):
            size = self._size_of(*self._items.popitem(last=False))
            size_before -= size
            self._size -= size
