"""Functions for operators' programs; each opens a session for one call."""

from collections.abc import Sequence
from typing import Any

from cranberrymux import sessions
from cranberrymux.adapters import http_adapter
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import document as document_module
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader


def open_session(
    addresses: Sequence[str],
    token: str,
    timeout_ms: int = 10_000,
    request_timeout_ms: int = 3000,
    reactor: Any = None,
) -> sessions.OperatorSession:
    """Makes a session with the control instances; sends nothing yet.

    Args:
        addresses: `ip:port` of each control instance's operators' API.
        token: The operators' token.
        timeout_ms: Limit on all attempts of one request together.
        request_timeout_ms: Limit on one attempt, at one instance.
        reactor: Twisted reactor; the installed one by default.
    """
    if reactor is None:
        from twisted.internet import reactor as installed  # noqa: PLC0415

        reactor = installed
    settings = sessions.OperatorSettings(tuple(addresses), timeout_ms)
    adapter = http_adapter.HttpAdapter(token, request_timeout_ms, reactor)
    return sessions.OperatorSession(settings, adapter)


def validate(
    text: str,
) -> document_module.Document | document_error.DocumentError:
    """Checks a configuration document locally, without any request."""
    return document_reader.parse(text)


async def get(
    addresses: Sequence[str],
    token: str,
    version: int | None = None,
    **options: Any,
) -> sessions.Configuration | sessions.SessionError:
    """Returns a version of the configuration; see `OperatorSession.get`."""
    return await open_session(addresses, token, **options).get(version)


async def apply(
    addresses: Sequence[str],
    token: str,
    document: str,
    base_version: int,
    *,
    author: str,
    change_id: str = "",
    **options: Any,
) -> change_answer.ChangeAnswer | sessions.SessionError:
    """Submits a new configuration; see `OperatorSession.apply`."""
    return await open_session(addresses, token, **options).apply(
        document, base_version, author=author, change_id=change_id
    )


async def rollback(
    addresses: Sequence[str],
    token: str,
    version: int,
    *,
    author: str,
    **options: Any,
) -> change_answer.ChangeAnswer | sessions.SessionError:
    """Restores an earlier version; see `OperatorSession.rollback`."""
    return await open_session(addresses, token, **options).rollback(
        version, author=author
    )


async def history(
    addresses: Sequence[str], token: str, limit: int = 20, **options: Any
) -> list[change_record.ChangeRecord] | sessions.SessionError:
    """Returns the latest accepted changes, newest first."""
    return await open_session(addresses, token, **options).history(limit)


async def status(
    addresses: Sequence[str], token: str, **options: Any
) -> list[sessions.InstanceStatus]:
    """Requests the status of every control instance."""
    return await open_session(addresses, token, **options).status()


async def accounts(
    addresses: Sequence[str], token: str, **options: Any
) -> sessions.AccountReport | sessions.SessionError:
    """Returns the use of the client accounts' quotas."""
    return await open_session(addresses, token, **options).accounts()


async def drain(
    addresses: Sequence[str], token: str, node_id: str, **options: Any
) -> int | sessions.SessionError:
    """Requests the drain of a node's backend server."""
    return await open_session(addresses, token, **options).drain(node_id)
