"""Checks that the selector parser accepts exactly its grammar.

Guards against a selector that means something else after it is formatted and
parsed again, against prepared matching that differs from its terms, and
against malformed text that raises or is reported at the wrong column.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.selectors import operator
from cranberrymux.decisions.selectors import parser
from cranberrymux.decisions.selectors import selector
from cranberrymux.decisions.selectors import selector_error
from cranberrymux.decisions.selectors import selector_fault
from cranberrymux.decisions.selectors import term
from cranberrymux.decisions.selectors import value_pattern
from tests import profiles

Fault = selector_fault.SelectorFault
Operator = operator.Operator
KEYWORDS = {"in", "notin", "exists", "not"}
NAMES = strategies.from_regex(
    r"[A-Za-z][A-Za-z0-9_./-]{0,12}", fullmatch=True
).filter(lambda name: name not in KEYWORDS)
VALUES = strategies.builds(
    value_pattern.ValuePattern,
    strategies.text(max_size=12),
    strategies.booleans(),
)
SINGLE_VALUE_TERMS = strategies.builds(
    term.Term,
    NAMES,
    strategies.sampled_from([Operator.EQUAL, Operator.NOT_EQUAL]),
    strategies.tuples(VALUES),
)
LIST_TERMS = strategies.builds(
    term.Term,
    NAMES,
    strategies.sampled_from([Operator.IN, Operator.NOT_IN]),
    strategies.lists(VALUES, min_size=1, max_size=4).map(tuple),
)
PRESENCE_TERMS = strategies.builds(
    term.Term,
    NAMES,
    strategies.sampled_from([Operator.EXISTS, Operator.NOT_EXISTS]),
    strategies.just(()),
)
SELECTORS = strategies.lists(
    SINGLE_VALUE_TERMS | LIST_TERMS | PRESENCE_TERMS, min_size=1, max_size=5
).map(lambda terms: selector.Selector(tuple(terms)))


@profiles.DETERMINISTIC
@hypothesis.given(SELECTORS)
def test_formatted_selector_parses_to_an_equal_selector(original):
    assert parser.parse(str(original)) == original


@profiles.DETERMINISTIC
@hypothesis.given(
    SELECTORS,
    strategies.dictionaries(NAMES, strategies.text(max_size=5), max_size=5),
)
def test_selector_matches_exactly_when_all_its_terms_match(parsed, labels):
    for name in [each.name for each in parsed.terms][:2]:
        labels.setdefault(name, "x")
    expected = all(each.matches(labels) for each in parsed.terms)
    assert parsed.matches(labels) is expected
    assert (parsed.explain(labels) is None) is expected


@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.text(
        strategies.sampled_from('abin,()=!"\\* \nexistsnot\x00é'), max_size=40
    )
)
def test_arbitrary_text_gives_a_selector_or_an_error_with_a_valid_column(text):
    result = parser.parse(text)
    if isinstance(result, selector_error.SelectorError):
        assert 1 <= result.column <= len(text) + 1
        assert result.expected
    else:
        assert parser.parse(str(result)) == result


@pytest.mark.parametrize(
    ("text", "reason", "column"),
    [
        ("", Fault.EMPTY, 1),
        ("   ", Fault.EMPTY, 4),
        ("a" * 4001, Fault.TOO_LONG, 4001),
        ("a = b,", Fault.NAME_EXPECTED, 7),
        ("a = b, in (c)", Fault.NAME_EXPECTED, 8),
        ("= b", Fault.NAME_EXPECTED, 1),
        ("a", Fault.OPERATOR_EXPECTED, 2),
        ("a == b", Fault.VALUE_EXPECTED, 4),
        ("a within (b)", Fault.OPERATOR_EXPECTED, 3),
        ("a in b", Fault.LIST_EXPECTED, 6),
        ("a in (b c)", Fault.LIST_EXPECTED, 9),
        ("a in ()", Fault.VALUE_EXPECTED, 7),
        ("a in (b", Fault.LIST_EXPECTED, 8),
        ("a = b c = d", Fault.COMMA_EXPECTED, 7),
        ("exists", Fault.LABEL_EXPECTED, 7),
        ("not a", Fault.OPERATOR_EXPECTED, 5),
        ("a = b*c", Fault.ASTERISK_PLACE, 5),
        ('a = "b', Fault.QUOTE_OPEN, 5),
        (r'a = "\n"', Fault.QUOTE_OPEN, 5),
        (",".join(["a = b"] * 33), Fault.TOO_MANY_TERMS, 193),
        (f"a in ({','.join(['b'] * 257)})", Fault.TOO_MANY_VALUES, 519),
    ],
)
def test_malformed_text_is_reported_with_reason_and_column(
    text, reason, column
):
    error = parser.parse(text)
    assert isinstance(error, selector_error.SelectorError)
    assert (error.reason, error.column) == (reason, column)
