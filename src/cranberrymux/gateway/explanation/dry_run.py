"""Tries a request on a copy of the state of a gateway."""

from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.gateway import entry
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway.explanation import asked_call
from cranberrymux.gateway.explanation import asked_routes
from cranberrymux.gateway.explanation import copied_parts
from cranberrymux.gateway.explanation import question as question_module
from cranberrymux.node.http import headers as headers_module


class Refusal(NamedTuple):
    """The answer of a node that does not pass a request on.

    Attributes:
        status: HTTP status.
        error: Error code in the body.
        reason: Why, in one line.
        retry_after_s: Seconds after which the caller should retry; None if the
            answer names none.
    """

    status: int
    error: str
    reason: str
    retry_after_s: float | None


class DryRun(NamedTuple):
    """What became of a request that was tried.

    Attributes:
        parts: The copy, with what was recorded in it.
        refusal: The answer of this node; None if it would send the request.
        wait_s: Seconds for which the request would wait for a quota token
            before `refusal`; 0.0 for none.
    """

    parts: copied_parts.CopiedParts
    refusal: Refusal | None
    wait_s: float


def run(
    parts: parts_module.GatewayParts,
    question: question_module.Question,
    route: route_module.Route | None,
    account: client_account.ClientAccount | None,
    *,
    is_limited: bool = True,
) -> DryRun:
    """Passes a request through the entry port's code up to its first send.

    Args:
        parts: State of the gateway; it is not changed.
        question: The request.
        route: Its route; None if there is no configuration.
        account: Its account; None for none.
        is_limited: False for a request that has got its quota token.
    """
    services = [target.service for target in route.targets] if route else []
    copied = copied_parts.CopiedParts(
        parts, services, account.name if account else ""
    )
    counts = account is not None and route is not None and not route.is_public
    copied.routes = _make_routes(parts, question, is_limited, counts)
    call = asked_call.AskedCall(
        question, _make_headers(parts, question, account)
    )
    entry.Entry(copied).handle_call(call)
    if not call.status and copied.recorded.chosen is None:
        _wait_for_answer(copied, call)
    wait_s = copied.timers.seconds()
    return DryRun(copied, _read_refusal(parts, call), wait_s)


def _wait_for_answer(
    copied: copied_parts.CopiedParts, call: asked_call.AskedCall
) -> None:
    """Lets time pass until the wait for a quota token ends."""
    while not call.status:
        timers: Sequence[Any] = copied.timers.getDelayedCalls()
        if not timers:
            return
        next_s = min(timer.getTime() for timer in timers)
        copied.timers.advance(max(next_s - copied.timers.seconds(), 0.0))


def _make_routes(
    parts: parts_module.GatewayParts,
    question: question_module.Question,
    is_limited: bool,
    has_account: bool,
) -> asked_routes.AskedRoutes:
    """Puts the priority of the question in place of the one that decides first.

    That is the account's if there is one, else the route's.
    """
    priority = question.priority

    def change_route(route: route_module.Route) -> route_module.Route:
        if priority is None or has_account:
            return route
        return route._replace(priority=priority)

    def change_account(
        account: client_account.ClientAccount,
    ) -> client_account.ClientAccount:
        if priority is not None:
            account = account._replace(priority=priority)
        return account if is_limited else account._replace(per_s=0.0)

    return asked_routes.AskedRoutes(parts.routes, change_route, change_account)


def _make_headers(
    parts: parts_module.GatewayParts,
    question: question_module.Question,
    account: client_account.ClientAccount | None,
) -> headers_module.HeaderList:
    dialect = parts.settings.dialect
    headers = [
        (b"host", question.host.encode()),
        (dialect.request_id, asked_call.REQUEST_ID),
    ]
    if question.deadline_ms is not None:
        headers.append((dialect.deadline_ms, b"%d" % question.deadline_ms))
    if account is not None and account.keys:
        headers.append((dialect.api_key, account.keys[0].encode()))
    return headers


def _read_refusal(
    parts: parts_module.GatewayParts, call: asked_call.AskedCall
) -> Refusal | None:
    if not call.status:
        return None
    body = json.loads(call.answer_body)
    retry_after = headers_module.find(
        call.answer_headers, parts.settings.dialect.retry_after
    )
    return Refusal(
        call.status,
        body["error"],
        body.get("detail", body["error"]),
        None if retry_after is None else float(retry_after),
    )
