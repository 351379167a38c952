"""docs/CONFIGURATION.md against the fields that the programs read.

Guards against a page that lacks a key, names a removed one or states an old
default, which comes about when a field is changed without the page.
"""

import pathlib

import pytest

from cranberrymux.cli import cli_settings
from cranberrymux.control import control_settings
from cranberrymux.decisions.configuration import document_fields
from cranberrymux.node import settings as node_settings
from cranberrymux.settings import field

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs/CONFIGURATION.md").read_text(encoding="utf-8")
HEADS = {
    "## The document": document_fields.FIELDS,
    "## Settings of `cranberrymux-control`": control_settings.FIELDS,
    "## Settings of `cranberrymux`": cli_settings.FIELDS,
    "## Settings of `cranberrymux-node`": node_settings.FIELDS,
}


def list_keys(fields, prefix=""):
    for each in fields:
        yield f"{prefix}{each.name}", each
        yield from list_keys(each.item_fields, f"{each.name}[].")


@pytest.mark.parametrize("head", HEADS)
def test_section_lists_exactly_the_keys_with_their_defaults(head):
    section = PAGE.split(f"{head}\n")[1].split("\n## ")[0]
    rows = {
        line.split("|")[1].strip().strip("`"): line
        for line in section.splitlines()
        if line.startswith("| `")
    }
    keys = dict(list_keys(HEADS[head]))
    assert set(rows) == set(keys)
    for name, key in keys.items():
        if key.default is field.REQUIRED:
            assert "must be given" in rows[name]
        elif type(key.default) is int:
            assert f"{key.default:,}" in rows[name], name
