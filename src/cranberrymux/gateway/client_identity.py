"""Finds the client account on whose behalf a request is sent."""

import enum
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_table
from cranberrymux.gateway import parts as parts_module
from cranberrymux.node.http import headers as headers_module


class IdentityVerdict(enum.Enum):
    """Decision on the key of a request.

    Attributes:
        ACCEPTED: The key is valid, or none is needed.
        UNKNOWN_KEY: No account holds the key, or it is missing.
        NO_LEASE: Keys cannot be checked, since the node may have missed a
            newer configuration.
    """

    ACCEPTED = "accepted"
    UNKNOWN_KEY = "unknown-key"
    NO_LEASE = "no-lease"


class ClientIdentity(NamedTuple):
    """Verdict on a request and the account that sent it.

    Attributes:
        verdict: Whether the request may go on.
        account: The account; None if the route needs none.
    """

    verdict: IdentityVerdict
    account: client_account.ClientAccount | None = None


ANONYMOUS = ClientIdentity(IdentityVerdict.ACCEPTED)


def identify(
    parts: parts_module.GatewayParts,
    table: route_table.RouteTable,
    route: route_module.Route,
    headers: headers_module.Headers,
    now_s: float,
) -> ClientIdentity:
    """Checks the key of a request.

    Args:
        parts: Shared state of the gateway.
        table: The configuration in force.
        route: Route of the request.
        headers: Headers of the request.
        now_s: Monotonic seconds.
    """
    if route.is_public or table.accounts.is_empty:
        return ANONYMOUS
    if not parts.key_lease.is_valid(now_s):
        return ClientIdentity(IdentityVerdict.NO_LEASE)
    key = headers.first.get(parts.settings.dialect.api_key)
    account = None if key is None else table.accounts.find(key)
    if account is None:
        return ClientIdentity(IdentityVerdict.UNKNOWN_KEY)
    return ClientIdentity(IdentityVerdict.ACCEPTED, account)
