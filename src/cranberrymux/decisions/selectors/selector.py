"""A parsed label expression."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.selectors import mismatch
from cranberrymux.decisions.selectors import term as term_module


class _Check(NamedTuple):
    name: str
    exact: frozenset[str]
    prefixes: tuple[str, ...]
    negative: bool


class Selector:
    """Terms that must all hold; immutable, compared by its terms."""

    __slots__ = ("_checks", "_hash", "_terms")

    def __init__(self, terms: tuple[term_module.Term, ...]) -> None:
        """Prepares the terms for matching.

        Args:
            terms: The conditions; none at all matches everything.
        """
        self._terms = terms
        self._hash = hash(terms)
        self._checks = tuple(_prepare(one) for one in terms)

    @property
    def terms(self) -> tuple[term_module.Term, ...]:
        """The conditions, in the order written."""
        return self._terms

    def matches(self, labels: Mapping[str, str]) -> bool:
        """True if the labels satisfy every term."""
        for name, exact, prefixes, negative in self._checks:
            value = labels.get(name)
            if value is None:
                found = False
            else:
                found = value in exact or value.startswith(prefixes)
            if found is negative:
                return False
        return True

    def explain(self, labels: Mapping[str, str]) -> mismatch.Mismatch | None:
        """Names the first term that failed; None if the labels match."""
        for term in self._terms:
            if not term.matches(labels):
                return mismatch.Mismatch(term, labels.get(term.name))
        return None

    def __eq__(self, other: object) -> bool:
        """True for a selector of the same terms in the same order."""
        return isinstance(other, Selector) and self._terms == other._terms

    def __hash__(self) -> int:
        """Hash of the terms."""
        return self._hash

    def __str__(self) -> str:
        """The selector as the parser reads it."""
        return ", ".join(str(one) for one in self._terms)

    def __repr__(self) -> str:
        """For people who debug."""
        return f"<Selector {self}>"


def _prepare(term: term_module.Term) -> _Check:
    exact = frozenset(one.text for one in term.values if not one.is_prefix)
    prefixes = tuple(one.text for one in term.values if one.is_prefix)
    if not term.values:
        prefixes = ("",)
    return _Check(term.name, exact, prefixes, term.operator.is_negative)
