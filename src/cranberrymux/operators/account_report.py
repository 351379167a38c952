"""The use of the client accounts' quotas."""

from typing import NamedTuple

from cranberrymux.decisions.quotas import account_use

AccountUse = account_use.AccountUse


class AccountReport(NamedTuple):
    """What the control instance that hands out tokens answered.

    Attributes:
        owner: Name of the control instance.
        accounts: The accounts with requests since it leads.
    """

    owner: str
    accounts: tuple[AccountUse, ...]
