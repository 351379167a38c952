"""Overload control layer for service call graphs.

The functions read and change the configuration of a running system and report
its status. All but `open_session` and `validate` are coroutines that run under
Twisted and make one call on a new `OperatorSession`.

    >>> async def show(addresses, token):
    ...     found = await cranberrymux.get(addresses, token)
    ...     print(found.version, found.document)

Each name is imported on first use: the programs of the system use none of
them, start often, and would pay for the imports.
"""

import importlib
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from cranberrymux.api import accounts
    from cranberrymux.api import apply
    from cranberrymux.api import drain
    from cranberrymux.api import get
    from cranberrymux.api import history
    from cranberrymux.api import open_session
    from cranberrymux.api import rollback
    from cranberrymux.api import status
    from cranberrymux.api import validate
    from cranberrymux.exceptions import CranberrymuxError
    from cranberrymux.exceptions import SettingsError
    from cranberrymux.sessions import OperatorSession
    from cranberrymux.sessions import SessionError

__version__ = "0.1.0"

__all__ = [
    "CranberrymuxError",
    "OperatorSession",
    "SessionError",
    "SettingsError",
    "accounts",
    "apply",
    "drain",
    "get",
    "history",
    "open_session",
    "rollback",
    "status",
    "validate",
]

_MODULES = {
    "CranberrymuxError": "cranberrymux.exceptions",
    "SettingsError": "cranberrymux.exceptions",
    "OperatorSession": "cranberrymux.sessions",
    "SessionError": "cranberrymux.sessions",
}


def __getattr__(name: str) -> Any:
    """Imports an exported name on its first use."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(_MODULES.get(name, "cranberrymux.api"))
    return getattr(module, name)
