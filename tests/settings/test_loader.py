"""Errors in settings files.

Guards against invalid values that get into a running program, and against error
messages without the line, the key and the expected value, so that an operator
cannot find the mistake in the file.
"""

import pytest

from cranberrymux import exceptions
from cranberrymux.settings import field
from cranberrymux.settings import loader

FIELDS = (
    field.Field("port", field.Kind.INTEGER, minimum=1, maximum=65535),
    field.Field("lease_ms", field.Kind.INTEGER, default=3000, minimum=100),
    field.Field("labels", field.Kind.TEXT_MAP, default={}),
    field.Field("rate", field.Kind.NUMBER, default=1, minimum=0),
)


def test_absent_keys_get_their_defaults():
    values = loader.load_text("port: 80\n", "x.yaml", FIELDS)
    assert values == {"port": 80, "lease_ms": 3000, "labels": {}, "rate": 1}


@pytest.mark.parametrize(
    ("text", "line", "key", "expected"),
    [
        ("lease_ms: 200\n", 1, "port", "no default"),
        ("port: 80\nprot: 1\n", 2, "prot", "one of the keys"),
        ("port: 80\nport: 81\n", 2, "port", "once only"),
        ("port: yes\n", 1, "port", "a whole number from 1 to 65535"),
        ("port: 80\nlease_ms: 5s\n", 2, "lease_ms", "of milliseconds"),
        ("port: 70000\n", 1, "port", "from 1 to 65535"),
        ("port: 80\nlabels: {a: 1}\n", 2, "labels", "map of text to text"),
        ("port: 80\nrate: .nan\n", 2, "rate", "at least 0"),
        ("port: 80\nrate: .inf\n", 2, "rate", "at least 0"),
        ("- 1\n", 1, "(file)", "a map of keys"),
        ("port: [\n", 2, "(file)", "valid YAML"),
    ],
)
def test_error_names_line_key_and_expected_value(text, line, key, expected):
    with pytest.raises(exceptions.SettingsError) as caught:
        loader.load_text(text, "x.yaml", FIELDS)
    assert (caught.value.line, caught.value.key) == (line, key)
    assert expected in caught.value.expected
    assert str(caught.value).startswith(f"x.yaml:{line}: {key}: expected ")


def test_address_list_accepts_ip_port_and_refuses_other_text():
    fields = (field.Field("where", field.Kind.ADDRESS_LIST),)
    values = loader.load_text('where: ["10.0.0.1:7"]\n', "x.yaml", fields)
    assert values["where"] == [("10.0.0.1", 7)]
    with pytest.raises(exceptions.SettingsError) as caught:
        loader.load_text("where: [nonsense]\n", "x.yaml", fields)
    assert "list of ip:port" in caught.value.expected
