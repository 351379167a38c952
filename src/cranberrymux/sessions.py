"""Operators' requests to the control instances, with failover and retries."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
import uuid

from cranberrymux.adapters import adapter as adapter_module
from cranberrymux.adapters import response as response_module
from cranberrymux.adapters import transport_error
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.operators import account_report
from cranberrymux.operators import configuration
from cranberrymux.operators import instance_status
from cranberrymux.operators import operator_settings
from cranberrymux.operators import session_error

_OK = 200
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_MINIMUM_PAUSE_S = 0.1
_MAXIMUM_PAUSE_S = 1.0


AccountReport = account_report.AccountReport
Configuration = configuration.Configuration
InstanceStatus = instance_status.InstanceStatus
OperatorSettings = operator_settings.OperatorSettings
SessionError = session_error.SessionError
SessionErrorReason = session_error.SessionErrorReason


class OperatorSession:
    """Sends operators' requests to the control instances.

    A read or a change goes to one instance after the other until one answers
    or the time limit is over; `status` and `drain` go to every instance once.
    All attempts of a change carry the same change id, so that an attempt
    after a lost answer does not apply the change twice.
    """

    def __init__(
        self, settings: OperatorSettings, adapter: adapter_module.Adapter
    ) -> None:
        """Stores the settings and the adapter; sends nothing yet.

        Args:
            settings: Addresses of the control instances and the time limit.
            adapter: Sends each attempt.
        """
        self._settings = settings
        self._adapter = adapter

    @property
    def settings(self) -> OperatorSettings:
        """The addresses and the time limit of this session."""
        return self._settings

    async def get(
        self, version: int | None = None
    ) -> Configuration | SessionError:
        """Returns a version of the configuration.

        Args:
            version: Number of the version; the latest one by default.
        """
        query = "" if version is None else f"?version={version}"
        answer = await self._send_until_answered(
            "GET", f"/v1/configuration{query}"
        )
        if isinstance(answer, session_error.SessionError):
            return answer
        return Configuration(answer.body["version"], answer.body["document"])

    async def history(
        self, limit: int = 20
    ) -> list[change_record.ChangeRecord] | SessionError:
        """Returns the latest accepted changes, newest first.

        Args:
            limit: Largest number of changes to return.
        """
        answer = await self._send_until_answered(
            "GET", f"/v1/history?limit={limit}"
        )
        if isinstance(answer, session_error.SessionError):
            return answer
        changes = answer.body["changes"]
        return [change_record.ChangeRecord(**fields) for fields in changes]

    async def apply(
        self,
        document: str,
        base_version: int,
        *,
        author: str,
        change_id: str = "",
        rollback_of: int = 0,
    ) -> change_answer.ChangeAnswer | SessionError:
        """Submits a new configuration document.

        Args:
            document: The new document, YAML text.
            base_version: The version that the new text was made from.
            author: Name of the operator, for the history.
            change_id: Identifies this change; a new UUID by default. A repeat
                with the same id gets the answer of the first.
            rollback_of: Version that this change restores; 0 if it is not a
                rollback.
        """
        requested = change.Change(
            change_id or str(uuid.uuid4()),
            base_version,
            author,
            document,
            rollback_of,
        )
        answer = await self._send_until_answered(
            "PUT", "/v1/configuration", requested._asdict(), accept=(_CONFLICT,)
        )
        if isinstance(answer, session_error.SessionError):
            return answer
        return _read_change_answer(answer.body)

    async def rollback(
        self, version: int, *, author: str, change_id: str = ""
    ) -> change_answer.ChangeAnswer | SessionError:
        """Submits a change that restores the document of a version.

        Args:
            version: Version to restore.
            author: Name of the operator, for the history.
            change_id: As for `apply`.
        """
        wanted = await self.get(version)
        if isinstance(wanted, session_error.SessionError):
            return wanted
        current = await self.get()
        if isinstance(current, session_error.SessionError):
            return current
        return await self.apply(
            wanted.document,
            current.version,
            author=author,
            change_id=change_id,
            rollback_of=version,
        )

    async def status(self) -> list[InstanceStatus]:
        """Requests the status of every control instance, once each.

        Returns:
            One entry for each address, in the order of the settings.
        """
        statuses = []
        for address in self._settings.addresses:
            answer = await self._adapter.send(address, "GET", "/v1/status")
            if isinstance(answer, transport_error.TransportError):
                statuses.append(InstanceStatus(address, None, answer.detail))
            elif answer.status != _OK:
                detail = str(answer.body.get("detail", answer.status))
                statuses.append(InstanceStatus(address, None, detail))
            else:
                statuses.append(InstanceStatus(address, answer.body))
        return statuses

    async def accounts(self) -> AccountReport | SessionError:
        """Returns the use of the quotas, from the instance that owns them.

        Returns an error if none is found within `timeout_ms`.
        """
        answer = await self._send_until_answered(
            "GET", "/v1/accounts", find_fault=_find_other_owner
        )
        if isinstance(answer, session_error.SessionError):
            return answer
        return AccountReport(
            answer.body["leader"],
            tuple(
                account_report.AccountUse(**fields)
                for fields in answer.body["accounts"]
            ),
        )

    async def drain(self, node_id: str) -> int | SessionError:
        """Requests the drain of a node's backend server.

        Args:
            node_id: The node.

        Returns:
            The number of control instances that accepted the request and
            pass it on to the node; the last error if none did.
        """
        accepted = 0
        errors = []
        for address in self._settings.addresses:
            answer = await self._adapter.send(
                address, "POST", "/v1/drain", {"node_id": node_id}
            )
            if isinstance(answer, transport_error.TransportError):
                unreachable = SessionErrorReason.UNREACHABLE
                errors.append(SessionError(unreachable, str(answer.detail)))
            elif answer.status == _OK:
                accepted += 1
            else:
                errors.append(_read_error(answer))
        return accepted or errors[-1]

    async def _send_until_answered(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        accept: tuple[int, ...] = (),
        find_fault: Callable[[Mapping[str, Any]], str] | None = None,
    ) -> response_module.Response | SessionError:
        """Sends a request to one instance after the other.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON body; None for none.
            accept: Statuses that are an answer besides 200.
            find_fault: Returns why the body of an answer is rejected, so that
                other instances are asked; empty if it is accepted.
        """
        end_s = self._adapter.now_s() + self._settings.timeout_ms / 1000
        details: dict[str, str] = {}
        while True:
            pause_s = _MINIMUM_PAUSE_S
            for address in self._settings.addresses:
                answer = await self._adapter.send(address, method, path, body)
                if isinstance(answer, transport_error.TransportError):
                    details[address] = answer.detail
                elif answer.status == _OK or answer.status in accept:
                    fault = find_fault(answer.body) if find_fault else ""
                    if not fault:
                        return answer
                    details[address] = fault
                elif answer.status < 500:
                    return _read_error(answer)
                else:
                    details[address] = str(answer.body.get("detail", ""))
                    pause_s = min(answer.retry_after_s, _MAXIMUM_PAUSE_S)
            if self._adapter.now_s() + pause_s >= end_s:
                text = "; ".join(
                    f"{address}: {detail}"
                    for address, detail in details.items()
                )
                return SessionError(SessionErrorReason.UNREACHABLE, text)
            await self._adapter.pause(max(pause_s, _MINIMUM_PAUSE_S))


def _find_other_owner(body: Mapping[str, Any]) -> str:
    if body.get("is_owner"):
        return ""
    return f"the leader is {body.get('leader') or 'not known'}"


def _read_error(answer: response_module.Response) -> SessionError:
    reason = SessionErrorReason.INVALID
    if answer.status == _UNAUTHORIZED:
        reason = SessionErrorReason.WRONG_TOKEN
    elif answer.status == _NOT_FOUND:
        reason = SessionErrorReason.NOT_FOUND
    body = answer.body
    if "key" in body:
        text = f"{body['line']}: {body['key']}: expected {body['expected']}"
        return SessionError(reason, text)
    return SessionError(reason, str(body.get("detail", answer.status)))


def _read_change_answer(
    body: Mapping[str, Any],
) -> change_answer.ChangeAnswer:
    record = body["record"]
    return change_answer.ChangeAnswer(
        change_verdict.ChangeVerdict(body["verdict"]),
        change_record.ChangeRecord(**record) if record else None,
        body["detail"],
    )
