"""Label selectors prepared for matching."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.selectors import mismatch
from cranberrymux.decisions.selectors import term as term_module


class _PreparedTerm(NamedTuple):
    """A term in a form that is fast to match.

    Attributes:
        name: Name of the label.
        exact: Values that match as a whole.
        prefixes: Prefixes of matching values; `""` matches any value.
        negative: True if the term holds when the label does not match.
    """

    name: str
    exact: frozenset[str]
    prefixes: tuple[str, ...]
    negative: bool


class Selector:
    """A conjunction of label terms; immutable and compared by its terms."""

    __slots__ = ("_prepared_terms", "_hash", "_terms")

    def __init__(self, terms: tuple[term_module.Term, ...]) -> None:
        """Prepares the terms for matching.

        Args:
            terms: Conditions that must all hold; without any, every set of
                labels matches.
        """
        self._terms = terms
        self._hash = hash(terms)
        self._prepared_terms = tuple(_prepare(term) for term in terms)

    @property
    def terms(self) -> tuple[term_module.Term, ...]:
        """The conditions, in the order of the text."""
        return self._terms

    def matches(self, labels: Mapping[str, str]) -> bool:
        """True if the labels satisfy every term."""
        for name, exact, prefixes, negative in self._prepared_terms:
            value = labels.get(name)
            if value is None:
                is_match = False
            else:
                is_match = value in exact or value.startswith(prefixes)
            if is_match is negative:
                return False
        return True

    def explain(self, labels: Mapping[str, str]) -> mismatch.Mismatch | None:
        """Returns the first unsatisfied term; None if the labels match."""
        for term in self._terms:
            if not term.matches(labels):
                return mismatch.Mismatch(term, labels.get(term.name))
        return None

    def __eq__(self, other: object) -> bool:
        """True for a selector with the same terms in the same order."""
        return isinstance(other, Selector) and self._terms == other._terms

    def __hash__(self) -> int:
        """Hash of the terms."""
        return self._hash

    def __str__(self) -> str:
        """Formats the selector as text that the parser accepts."""
        return ", ".join(str(term) for term in self._terms)

    def __repr__(self) -> str:
        """Formats the selector for debugging."""
        return f"<Selector {self}>"


def _prepare(term: term_module.Term) -> _PreparedTerm:
    exact = frozenset(
        pattern.text for pattern in term.values if not pattern.is_prefix
    )
    prefixes = tuple(
        pattern.text for pattern in term.values if pattern.is_prefix
    )
    if not term.values:
        prefixes = ("",)
    return _PreparedTerm(term.name, exact, prefixes, term.operator.is_negative)
