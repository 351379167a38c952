"""A class of requests."""

from typing import NamedTuple


class ClassRule(NamedTuple):
    """A class, in the order in which classes are shed.

    Attributes:
        name: Its name.
        rank: Its place in the document; 0 is shed last.
        protected: True if the class may use all of a service's capacity;
            False if some is kept free of it for protected classes.
    """

    name: str
    rank: int
    protected: bool
