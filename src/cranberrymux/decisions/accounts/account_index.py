"""Finds the client account that holds a key."""

from collections.abc import Iterable

from cranberrymux.decisions.accounts import client_account


class AccountIndex:
    """The accounts of one configuration, by key and by name."""

    def __init__(
        self, accounts: Iterable[client_account.ClientAccount]
    ) -> None:
        """Builds the index.

        Args:
            accounts: Accounts, of which no two share a key or a name.
        """
        self._by_key: dict[bytes, client_account.ClientAccount] = {}
        self._by_name: dict[str, client_account.ClientAccount] = {}
        for account in accounts:
            self._by_name[account.name] = account
            for key in account.keys:
                self._by_key[key.encode()] = account

    @property
    def is_empty(self) -> bool:
        """True if there are no accounts, so that requests need no key."""
        return not self._by_name

    def find(self, key: bytes) -> client_account.ClientAccount | None:
        """Returns the account that holds a key, or None."""
        return self._by_key.get(key)

    def get(self, name: str) -> client_account.ClientAccount | None:
        """Returns the account with a name, or None."""
        return self._by_name.get(name)
