"""Reads the text of a selector; the grammar is in docs/operations/selectors.md.

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

_SPACE = re.compile(r"[ \t\r\n]*")
_WORD = re.compile(r"[A-Za-z][A-Za-z0-9_./-]{0,62}")
_BARE_VALUE = re.compile(r"[A-Za-z0-9_./:@+~%*-]+")
_QUOTED_VALUE = re.compile(r'"((?:[^"\\]|\\["\\*])*)"')
_UNESCAPED_ASTERISK = re.compile(r"(?:[^\\*]|\\.)*(\*)", re.DOTALL)
_ESCAPE = re.compile(r"\\(.)", re.DOTALL)
_KEYWORDS = frozenset({"in", "notin", "exists", "not"})


def parse(
    text: str,
) -> selector_module.Selector | selector_error.SelectorError:
    """Reads a selector; never raises.

    Args:
        text: The expression.

    Returns:
        The selector, or what is wrong and where.
    """
    if len(text) > limits.MAXIMUM_TEXT_LENGTH:
        return selector_error.SelectorError(
            _Fault.TOO_LONG,
            limits.MAXIMUM_TEXT_LENGTH + 1,
            f"at most {limits.MAXIMUM_TEXT_LENGTH} characters",
        )
    try:
        return _Reader(text).read_selector()
    except _FaultError as stop:
        return stop.error


class _FaultError(Exception):
    """Ends the reading at the first fault; does not leave this module."""

    def __init__(self, error: selector_error.SelectorError) -> None:
        super().__init__()
        self.error = error


class _Reader:
    """Reads from left to right, skipping space before each part."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._place = 0
        self._word_place = 0

    def read_selector(self) -> selector_module.Selector:
        if self._at_end():
            raise self._fault(_Fault.EMPTY, "at least one term")
        terms = [self._read_term()]
        while not self._at_end():
            if not self._skip(","):
                raise self._fault(_Fault.COMMA_EXPECTED, "a comma or the end")
            if len(terms) == limits.MAXIMUM_TERMS:
                raise self._fault(
                    _Fault.TOO_MANY_TERMS,
                    f"at most {limits.MAXIMUM_TERMS} terms",
                )
            terms.append(self._read_term())
        return selector_module.Selector(tuple(terms))

    def _read_term(self) -> term_module.Term:
        word = self._read_word()
        if word == "exists":
            return term_module.Term(self._read_name(), _Operator.EXISTS)
        if word == "not":
            if self._read_word() != "exists":
                raise self._word_fault(_Fault.OPERATOR_EXPECTED, "`exists`")
            return term_module.Term(self._read_name(), _Operator.NOT_EXISTS)
        if word is None or word in _KEYWORDS:
            raise self._word_fault(
                _Fault.NAME_EXPECTED, "a label name, `exists` or `not exists`"
            )
        return self._read_comparison(word)

    def _read_comparison(self, name: str) -> term_module.Term:
        if self._skip("!="):
            return term_module.Term(
                name, _Operator.NOT_EQUAL, (self._read_value(),)
            )
        if self._skip("="):
            return term_module.Term(
                name, _Operator.EQUAL, (self._read_value(),)
            )
        word = self._read_word()
        if word == "in":
            return term_module.Term(name, _Operator.IN, self._read_list())
        if word == "notin":
            return term_module.Term(name, _Operator.NOT_IN, self._read_list())
        raise self._word_fault(
            _Fault.OPERATOR_EXPECTED, "`=`, `!=`, `in` or `notin`"
        )

    def _read_name(self) -> str:
        word = self._read_word()
        if word is None or word in _KEYWORDS:
            raise self._word_fault(_Fault.LABEL_EXPECTED, "a label name")
        return word

    def _read_list(self) -> tuple[value_pattern.ValuePattern, ...]:
        if not self._skip("("):
            raise self._fault(_Fault.LIST_EXPECTED, "`(`")
        values = [self._read_value()]
        while not self._skip(")"):
            if not self._skip(","):
                raise self._fault(_Fault.LIST_EXPECTED, "`,` or `)`")
            if len(values) == limits.MAXIMUM_VALUES:
                raise self._fault(
                    _Fault.TOO_MANY_VALUES,
                    f"at most {limits.MAXIMUM_VALUES} values",
                )
            values.append(self._read_value())
        return tuple(values)

    def _read_value(self) -> value_pattern.ValuePattern:
        self._skip_space()
        start = self._place
        quoted = self._text.startswith('"', start)
        pattern = _QUOTED_VALUE if quoted else _BARE_VALUE
        match = pattern.match(self._text, start)
        if match is None and quoted:
            raise self._fault(
                _Fault.QUOTE_OPEN,
                'a closing quote, and only \\", \\\\ and \\* as escapes',
            )
        if match is None:
            raise self._fault(_Fault.VALUE_EXPECTED, "a value")
        self._place = match.end()
        raw = match.group(1) if quoted else match.group()
        asterisk = _UNESCAPED_ASTERISK.match(raw)
        if asterisk is None:
            return value_pattern.ValuePattern(_ESCAPE.sub(r"\1", raw))
        if asterisk.end() != len(raw):
            self._place = start
            raise self._fault(
                _Fault.ASTERISK_PLACE, "an asterisk only at the end of a value"
            )
        return value_pattern.ValuePattern(_ESCAPE.sub(r"\1", raw[:-1]), True)

    def _read_word(self) -> str | None:
        self._skip_space()
        self._word_place = self._place
        match = _WORD.match(self._text, self._place)
        if match is None:
            return None
        self._place = match.end()
        return match.group()

    def _skip(self, sign: str) -> bool:
        self._skip_space()
        if not self._text.startswith(sign, self._place):
            return False
        self._place += len(sign)
        return True

    def _skip_space(self) -> None:
        match = _SPACE.match(self._text, self._place)
        if match is not None:
            self._place = match.end()

    def _at_end(self) -> bool:
        self._skip_space()
        return self._place == len(self._text)

    def _word_fault(
        self, reason: selector_fault.SelectorFault, expected: str
    ) -> _FaultError:
        self._place = self._word_place
        return self._fault(reason, expected)

    def _fault(
        self, reason: selector_fault.SelectorFault, expected: str
    ) -> _FaultError:
        self._skip_space()
        return _FaultError(
            selector_error.SelectorError(reason, self._place + 1, expected)
        )
