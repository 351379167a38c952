"""Overload control layer for service call graphs.

The functions steer a running system: they are coroutines under Twisted, each
one step of an `OperatorSession`.

    >>> async def show(addresses, token):
    ...     found = await cranberrymux.get(addresses, token)
    ...     print(found.version, found.document)
"""

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
    "apply",
    "drain",
    "get",
    "history",
    "open_session",
    "rollback",
    "status",
    "validate",
]
