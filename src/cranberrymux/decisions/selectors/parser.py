"""Parses selectors; docs/operations/selectors.md defines the grammar.

Terms are joined by commas: `name = value`, `name != value`, `name in (a, b)`,
`name notin (a, b)`, `exists name`, `not exists name`.
"""

import re

from cranberrymux.decisions.selectors import limits
from cranberrymux.decisions.selectors import operator
from cranberrymux.decisions.selectors import selector as selector_module
from cranberrymux.decisions.selectors import selector_error
from cranberrymux.decisions.selectors import selector_fault
from cranberrymux.decisions.selectors import term as term_module
from cranberrymux.decisions.selectors import value_pattern

_Fault = selector_fault.SelectorFault
_Operator = operator.Operator

_WHITESPACE = re.compile(r"[ \t\r\n]*")
_WORD = re.compile(r"[A-Za-z][A-Za-z0-9_./-]{0,62}")
_BARE_VALUE = re.compile(r"[A-Za-z0-9_./:@+~%*-]+")
_QUOTED_VALUE = re.compile(r'"((?:[^"\\]|\\["\\*])*)"')
_UNESCAPED_ASTERISK = re.compile(r"(?:[^\\*]|\\.)*(\*)", re.DOTALL)
_ESCAPE = re.compile(r"\\(.)", re.DOTALL)
_KEYWORDS = frozenset({"in", "notin", "exists", "not"})


def parse(
    text: str,
) -> selector_module.Selector | selector_error.SelectorError:
    """Parses a selector; never raises.

    Args:
        text: The selector as an operator wrote it.

    Returns:
        The selector, or the reason and column of the first fault.
    """
    if len(text) > limits.MAXIMUM_CHARACTERS:
        return selector_error.SelectorError(
            _Fault.TOO_LONG,
            limits.MAXIMUM_CHARACTERS + 1,
            f"at most {limits.MAXIMUM_CHARACTERS} characters",
        )
    try:
        return _Parser(text).parse_selector()
    except _SyntaxFaultError as error:
        return error.fault


class _SyntaxFaultError(Exception):
    """Stops parsing at the first fault; `parse` catches it."""

    def __init__(self, fault: selector_error.SelectorError) -> None:
        super().__init__()
        self.fault = fault


class _Parser:
    """A recursive-descent parser that skips whitespace before each token."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._word_position = 0

    def parse_selector(self) -> selector_module.Selector:
        if self._at_end():
            raise self._make_error(_Fault.EMPTY, "at least one term")
        terms = [self._parse_term()]
        while not self._at_end():
            if not self._accept(","):
                raise self._make_error(
                    _Fault.COMMA_EXPECTED, "a comma or the end of the selector"
                )
            if len(terms) == limits.MAXIMUM_TERMS:
                raise self._make_error(
                    _Fault.TOO_MANY_TERMS,
                    f"at most {limits.MAXIMUM_TERMS} terms",
                )
            terms.append(self._parse_term())
        return selector_module.Selector(tuple(terms))

    def _parse_term(self) -> term_module.Term:
        word = self._parse_word()
        if word == "exists":
            return term_module.Term(self._parse_name(), _Operator.EXISTS)
        if word == "not":
            if self._parse_word() != "exists":
                raise self._make_word_error(
                    _Fault.OPERATOR_EXPECTED, "`exists`"
                )
            return term_module.Term(self._parse_name(), _Operator.NOT_EXISTS)
        if word is None or word in _KEYWORDS:
            raise self._make_word_error(
                _Fault.NAME_EXPECTED, "a label name, `exists` or `not exists`"
            )
        return self._parse_comparison(word)

    def _parse_comparison(self, name: str) -> term_module.Term:
        if self._accept("!="):
            return term_module.Term(
                name, _Operator.NOT_EQUAL, (self._parse_value(),)
            )
        if self._accept("="):
            return term_module.Term(
                name, _Operator.EQUAL, (self._parse_value(),)
            )
        word = self._parse_word()
        if word == "in":
            return term_module.Term(name, _Operator.IN, self._parse_list())
        if word == "notin":
            return term_module.Term(name, _Operator.NOT_IN, self._parse_list())
        raise self._make_word_error(
            _Fault.OPERATOR_EXPECTED, "`=`, `!=`, `in` or `notin`"
        )

    def _parse_name(self) -> str:
        word = self._parse_word()
        if word is None or word in _KEYWORDS:
            raise self._make_word_error(_Fault.LABEL_EXPECTED, "a label name")
        return word

    def _parse_list(self) -> tuple[value_pattern.ValuePattern, ...]:
        if not self._accept("("):
            raise self._make_error(_Fault.LIST_EXPECTED, "`(`")
        values = [self._parse_value()]
        while not self._accept(")"):
            if not self._accept(","):
                raise self._make_error(_Fault.LIST_EXPECTED, "`,` or `)`")
            if len(values) == limits.MAXIMUM_VALUES_PER_TERM:
                raise self._make_error(
                    _Fault.TOO_MANY_VALUES,
                    f"at most {limits.MAXIMUM_VALUES_PER_TERM} values",
                )
            values.append(self._parse_value())
        return tuple(values)

    def _parse_value(self) -> value_pattern.ValuePattern:
        self._skip_whitespace()
        start = self._position
        quoted = self._text.startswith('"', start)
        pattern = _QUOTED_VALUE if quoted else _BARE_VALUE
        match = pattern.match(self._text, start)
        if match is None and quoted:
            raise self._make_error(
                _Fault.QUOTE_OPEN,
                'a closing quote, and only \\", \\\\ and \\* as escapes',
            )
        if match is None:
            raise self._make_error(_Fault.VALUE_EXPECTED, "a value")
        self._position = match.end()
        raw = match.group(1) if quoted else match.group()
        asterisk = _UNESCAPED_ASTERISK.match(raw)
        if asterisk is None:
            return value_pattern.ValuePattern(_ESCAPE.sub(r"\1", raw))
        if asterisk.end() != len(raw):
            self._position = start
            raise self._make_error(
                _Fault.ASTERISK_PLACE, "an asterisk only at the end of a value"
            )
        return value_pattern.ValuePattern(_ESCAPE.sub(r"\1", raw[:-1]), True)

    def _parse_word(self) -> str | None:
        self._skip_whitespace()
        self._word_position = self._position
        match = _WORD.match(self._text, self._position)
        if match is None:
            return None
        self._position = match.end()
        return match.group()

    def _accept(self, token: str) -> bool:
        self._skip_whitespace()
        if not self._text.startswith(token, self._position):
            return False
        self._position += len(token)
        return True

    def _skip_whitespace(self) -> None:
        match = _WHITESPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()

    def _at_end(self) -> bool:
        self._skip_whitespace()
        return self._position == len(self._text)

    def _make_word_error(
        self, reason: selector_fault.SelectorFault, expected: str
    ) -> _SyntaxFaultError:
        self._position = self._word_position
        return self._make_error(reason, expected)

    def _make_error(
        self, reason: selector_fault.SelectorFault, expected: str
    ) -> _SyntaxFaultError:
        self._skip_whitespace()
        return _SyntaxFaultError(
            selector_error.SelectorError(reason, self._position + 1, expected)
        )
