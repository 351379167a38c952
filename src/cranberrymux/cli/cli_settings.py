"""Settings of the command line from a file, the environment and options."""

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
    """How the command line reaches the control instances.

    Attributes:
        addresses: `ip:port` of the operator API of each control instance.
        token_file: Path of the file with the operators' token; empty if none
            was given.
        author: Name that changes are recorded under.
        timeout_ms: Maximum milliseconds for a request, over all attempts.
        request_timeout_ms: Maximum milliseconds for one attempt at one
            control instance.
    """

    addresses: tuple[str, ...]
    token_file: str
    author: str
    timeout_ms: int
    request_timeout_ms: int


def load(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> CliSettings:
    """Merges the settings file, the environment and the options.

    The environment overrides the file, and the options override both. The
    author is `USER` only if neither the options nor the file name one, and
    `unknown` if `USER` is not set either.

    Args:
        arguments: The parsed command line.
        environment: Environment variables of the process.

    Raises:
        SettingsError: The file is not valid, or an address is not `ip:port`.
    """
    if arguments.settings:
        values = loader.load(arguments.settings, FIELDS)
    else:
        values = {setting.name: setting.default for setting in FIELDS}
    address_list = environment.get(ADDRESSES_VARIABLE, "")
    if address_list:
        values["addresses"] = address_list.split(",")
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
    values["addresses"] = tuple(
        address.strip() for address in values["addresses"]
    )
    for address in values["addresses"]:
        if socket_address.parse(address) is None:
            raise exceptions.SettingsError(
                arguments.settings or "(options)",
                1,
                "addresses",
                f"a list of ip:port, not {address!r}",
            )
    return CliSettings(**values)
