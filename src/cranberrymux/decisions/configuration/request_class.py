"""A request class of the configuration document."""

from typing import NamedTuple


class RequestClass(NamedTuple):
    """A request class and its rank in the shedding order.

    Attributes:
        name: Name of the class, unique in the document.
        rank: Index of the class in the document; 0 is shed last.
        protected: True if the class may use all of a service's capacity;
            False if part of the capacity is reserved for protected classes.
    """

    name: str
    rank: int
    protected: bool
