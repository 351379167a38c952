"""Settings of the command line: file, environment, options."""

import argparse
from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux import exceptions
from cranberrymux.models import socket_address
from cranberrymux.settings import field
from cranberrymux.settings import loader

ADDRESSES_VARIABLE = "CRANBERRYMUX_ADDRESSES"
TOKEN_FILE_VARIABLE = "CRANBERRYMUX_TOKEN_FILE"

FIELDS = (
    field.Field("addresses", field.Kind.TEXT_LIST, default=[], maximum=16),
    field.Field("token_file", field.Kind.TEXT, default=""),
    field.Field("author", field.Kind.TEXT, default="", maximum=128),
    field.Field(
        "timeout_ms",
        field.Kind.INTEGER,
        default=10_000,
        minimum=100,
        maximum=600_000,
    ),
    field.Field(
        "request_timeout_ms",
        field.Kind.INTEGER,
        default=3000,
        minimum=50,
        maximum=60_000,
    ),
)


class CliSettings(NamedTuple):
    """Whom the command line asks.

    Attributes:
        addresses: `ip:port` of each control instance's operators' API.
        token_file: File with the operators' token.
        author: Who asks for changes.
        timeout_ms: Longest time over all tries of one request.
        request_timeout_ms: Longest wait for one instance.
    """

    addresses: tuple[str, ...]
    token_file: str
    author: str
    timeout_ms: int
    request_timeout_ms: int


def load(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> CliSettings:
    """Joins file, environment and options, in rising order.

    Raises:
        SettingsError: The file is wrong.
    """
    if arguments.settings:
        values = loader.load(arguments.settings, FIELDS)
    else:
        values = {one.name: one.default for one in FIELDS}
    addresses = environment.get(ADDRESSES_VARIABLE, "")
    if addresses:
        values["addresses"] = addresses.split(",")
    if arguments.address:
        values["addresses"] = arguments.address
    token_file = environment.get(TOKEN_FILE_VARIABLE, "")
    values["token_file"] = (
        arguments.token_file or token_file or values["token_file"]
    )
    values["author"] = (
        getattr(arguments, "author", "")
        or values["author"]
        or environment.get("USER", "")
        or "unknown"
    )
    values["addresses"] = tuple(one.strip() for one in values["addresses"])
    for one in values["addresses"]:
        if socket_address.parse(one) is None:
            raise exceptions.SettingsError(
                arguments.settings or "(options)",
                1,
                "addresses",
                f"a list of ip:port, not {one!r}",
            )
    return CliSettings(**values)
