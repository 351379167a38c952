"""The use of the client accounts' quotas."""

from typing import NamedTuple

from cranberrymux.decisions.quotas import token_allocator

AccountUse = token_allocator.AccountUse


class AccountReport(NamedTuple):
    """What the control instance that hands out tokens answered.

    Attributes:
        owner: Name of the control instance.
        accounts: The accounts with requests since it leads.
    """

    owner: str
    accounts: tuple[AccountUse, ...]
