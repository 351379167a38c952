"""Checks that an invalid configuration document is rejected and located.

Guards against a document that is accepted although a later part is wrong, and
against errors that name the wrong line or key, since values are validated
after YAML positions are lost. Hostile texts with deep nesting, aliases or
excessive size must yield an error instead of an exception or a long run time.
"""

import pytest

from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader

VALID_DOCUMENT = """\
classes:
  - name: live
    protected: true
  - name: upload
default_class: upload
default_timeout_ms: 4000
services:
  - name: crew-dispatch
    retry_budget: 1
    limit_cap: 70
  - name: leak-notes
    timeout_ms: 800
selectors:
  - name: dispatches
    match: service = crew-dispatch, method = POST
    class: live
    once_only: true
    strict: true
  - name: lookups
    match: method = GET
    class: live
    idempotent: true
    place: zone in (a, b)
"""


def test_valid_document_is_read_with_every_value_and_default():
    parsed = document_reader.parse(VALID_DOCUMENT)
    assert isinstance(parsed, document.Document)
    assert [rule.name for rule in parsed.classes] == ["live", "upload"]
    assert parsed.default_class_rank == 1
    assert parsed.service("crew-dispatch").retry_budget == 1
    assert parsed.service("crew-dispatch").timeout_ms == 4000
    assert parsed.service("leak-notes").timeout_ms == 800
    assert parsed.service("other").retry_budget == 3
    assert parsed.selectors[0].once_only
    assert parsed.selectors[1].place is not None


def test_empty_text_gives_a_document_with_one_class():
    parsed = document_reader.parse("")
    assert isinstance(parsed, document.Document)
    assert parsed.default_class_rank == 0


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "expected"),
    [
        ("class: live\n    once", "class: lime\n    once", 16,
         "selectors[0].class", "one of the classes live, upload"),
        ("(a, b)", "(a, b", 23, "selectors[1].place", "at column"),
        ("method = GET", "method == GET", 20, "selectors[1].match", "column"),
        ("name: upload", "name: live", 4, "classes[1].name",
         "a unique name"),
        ("name: lookups", "name: dispatches", 19, "selectors[1].name",
         "a unique name"),
        ("default_class: upload", "default_class: x", 5, "default_class",
         "one of the classes"),
        ("strict: true", "idempotent: true", 18, "selectors[0].idempotent",
         "false where once_only"),
        ("retry_budget: 1", "retry_budget: -1", 9, "services[0].retry_budget",
         "from 0 to 100"),
        ("limit_cap", "limit", 10, "services[0].limit", "one of the keys"),
        ("timeout_ms: 800", "timeout_ms: 1s", 12, "services[1].timeout_ms",
         "milliseconds"),
        ("protected: true", "protected: 1", 3, "classes[0].protected",
         "true or false"),
        # An anchor alone is harmless; line 0 marks a valid document.
        ("services:", "services: &a", 0, "", ""),
        ("zone in (a, b)", "[", 24, "(file)", "valid YAML"),
    ],
)  # fmt: skip
def test_invalid_value_is_reported_with_line_key_and_expectation(
    old, new, line, key, expected
):
    assert old in VALID_DOCUMENT
    result = document_reader.parse(VALID_DOCUMENT.replace(old, new))
    if not line:
        assert isinstance(result, document.Document)
        return
    assert isinstance(result, document_error.DocumentError)
    assert (result.line, result.key) == (line, key)
    assert expected in result.expected


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("classes: []\n", "at least 1 items"),
        ("- 1\n", "a map of keys"),
        ("a: &x [1]\nb: [*x, *x]\n", "no YAML aliases"),
        ("[" * 100_000, "less nesting"),
        ("#" * 262_145, "at most 262144 bytes"),
        ("classes:\n  - name: a\n" + "selectors: 5\n", "list of maps"),
        ("classes:\n" + "".join(f"  - name: c{n}\n" for n in range(17)),
         "at most 16 items"),
        ("\x00", "valid YAML"),
        ("classes: !!python/object:os.system x", "list of maps"),
    ],
)  # fmt: skip
def test_malformed_or_oversized_text_gives_an_error(text, expected):
    result = document_reader.parse(text)
    assert isinstance(result, document_error.DocumentError)
    assert expected in result.expected
    assert str(result).startswith(f"{result.line}: {result.key}: expected ")


# Guards against an operator who gets an internal error for an odd document.
@pytest.mark.parametrize(
    "value",
    [
        ".nan",
        "-.inf",
        "9" * 5000,
        "0x" + "f" * 5000,
        "0b" + "1" * 9000,
        "0" + "7" * 6000,
        "1:" * 3000 + "1",
        "[0x" + "f" * 5000 + "]",
        "2001-99-99",
        "!!timestamp x",
        "!!bool maybe",
        "!!float x",
        "!!int x",
        "!!int ''",
        "!!int 0x",
        "\ud800",
        '"\\ud800"',
    ],
    ids=lambda value: repr(value)[:20],
)
@pytest.mark.parametrize(
    "template",
    [
        "classes: [{name: a}]\ndefault_timeout_ms: %s\n",
        "classes:\n  - name: %s\n",
        "classes: [{name: a}]\n? %s\n: 1\n",
    ],
)
def test_odd_scalar_is_an_error_and_raises_nothing(template, value):
    parsed = document_reader.parse(template % value)
    assert isinstance(parsed, document_error.DocumentError)
    assert parsed.line > 0
