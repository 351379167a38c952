"""docs/CONFIGURATION.md names every key with its default."""

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
    for one in fields:
        yield f"{prefix}{one.name}", one
        yield from list_keys(one.item_fields, f"{one.name}[].")


@pytest.mark.parametrize("head", HEADS)
def test_the_page_names_every_key(head):
    section = PAGE.split(f"{head}\n")[1].split("\n## ")[0]
    rows = {
        line.split("|")[1].strip().strip("`"): line
        for line in section.splitlines()
        if line.startswith("| `")
    }
    keys = dict(list_keys(HEADS[head]))
    assert set(rows) == set(keys)
    for name, one in keys.items():
        if one.default is field.REQUIRED:
            assert "must be given" in rows[name]
        elif type(one.default) is int:
            assert f"{one.default:,}" in rows[name], name
