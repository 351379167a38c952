"""Explains where a node would send a request now, and why."""

from typing import Any

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_table
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway.explanation import description
from cranberrymux.gateway.explanation import dry_run
from cranberrymux.gateway.explanation import question as question_module

_Error = question_module.QuestionError


class Explainer:
    """Answers questions about the requests of clients at one node.

    An answer changes nothing in the node and sends nothing.
    """

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Explains by the state that requests share."""
        self._parts = parts

    def explain(
        self, question: question_module.Question
    ) -> dict[str, Any] | question_module.QuestionError:
        """Returns the explanation, which can be encoded as JSON."""
        table = self._parts.routes.table
        route = None
        account = None
        if table is None:
            # Without accounts to compare it with, the name may be a key.
            question = question._replace(account="")
        else:
            host = question.host or _find_only_host(table)
            if not host:
                return _Error(
                    "host-needed", "the configuration has several hosts"
                )
            question = question._replace(host=host)
            route = _find_route(table, question)
            if route is None:
                return _Error(
                    "no-route",
                    "no route has this host and a prefix of this path, in "
                    f"configuration version {self._parts.routes.version}",
                    404,
                )
            account = table.accounts.get(question.account)
            if question.account and account is None:
                return _Error(
                    "no-account",
                    "the configuration has no account of this name",
                    404,
                )
        return self._try(question, route, account)

    def _try(
        self,
        question: question_module.Question,
        route: route_module.Route | None,
        account: client_account.ClientAccount | None,
    ) -> dict[str, Any]:
        first = dry_run.run(self._parts, question, route, account)
        granted = first
        if first.wait_s:
            granted = dry_run.run(
                self._parts, question, route, account, is_limited=False
            )
        return description.describe(
            self._parts, question, route, account, first, granted
        )


def _find_only_host(table: route_table.RouteTable) -> str:
    hosts = {route.host for route in table.document.routes}
    return hosts.pop() if len(hosts) == 1 else ""


def _find_route(
    table: route_table.RouteTable, question: question_module.Question
) -> route_module.Route | None:
    # As the entry port reads the bytes of a request.
    host = question.host.encode().decode("latin-1")
    return table.find(host, question.path.encode().decode("latin-1"))
