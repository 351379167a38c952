"""A session of an operator with the control instances."""

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
from cranberrymux.operators import configuration
from cranberrymux.operators import instance_status
from cranberrymux.operators import operator_settings
from cranberrymux.operators import session_error

_OK = 200
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_PAUSE_S = 0.1
_MAXIMUM_PAUSE_S = 1.0


Configuration = configuration.Configuration
InstanceStatus = instance_status.InstanceStatus
OperatorSettings = operator_settings.OperatorSettings
SessionError = session_error.SessionError
SessionErrorReason = session_error.SessionErrorReason


class OperatorSession:
    """Asks one control instance after the other until one can answer.

    A change is sent with the same change id on every try, so that a lost
    answer never makes a second change.
    """

    def __init__(
        self, settings: OperatorSettings, adapter: adapter_module.Adapter
    ) -> None:
        """Keeps the addresses and the adapter."""
        self._settings = settings
        self._adapter = adapter

    @property
    def settings(self) -> OperatorSettings:
        """The settings it was made with."""
        return self._settings

    async def get(
        self, version: int | None = None
    ) -> Configuration | SessionError:
        """Returns the last version, or the one asked for."""
        query = "" if version is None else f"?version={version}"
        answer = await self._ask("GET", f"/v1/configuration{query}")
        if isinstance(answer, session_error.SessionError):
            return answer
        return Configuration(answer.body["version"], answer.body["document"])

    async def history(
        self, limit: int = 20
    ) -> list[change_record.ChangeRecord] | SessionError:
        """Returns the last accepted changes, newest first."""
        answer = await self._ask("GET", f"/v1/history?limit={limit}")
        if isinstance(answer, session_error.SessionError):
            return answer
        changes = answer.body["changes"]
        return [change_record.ChangeRecord(**one) for one in changes]

    async def apply(
        self,
        document: str,
        base_version: int,
        *,
        author: str,
        change_id: str = "",
        rollback_of: int = 0,
    ) -> change_answer.ChangeAnswer | SessionError:
        """Changes the document.

        Args:
            document: The new YAML text.
            base_version: The version that the new text was made from.
            author: Who asks.
            change_id: Names this change; a new one by default. Sent again,
                it gets the first answer.
            rollback_of: The version that this brings back; 0 for none.
        """
        asked = change.Change(
            change_id or str(uuid.uuid4()),
            base_version,
            author,
            document,
            rollback_of,
        )
        answer = await self._ask(
            "PUT", "/v1/configuration", asked._asdict(), accept=(_CONFLICT,)
        )
        if isinstance(answer, session_error.SessionError):
            return answer
        return _read_change_answer(answer.body)

    async def rollback(
        self, version: int, *, author: str, change_id: str = ""
    ) -> change_answer.ChangeAnswer | SessionError:
        """Brings back the document of a version by a new change."""
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
        """Asks every control instance for what it sees."""
        found = []
        for address in self._settings.addresses:
            answer = await self._adapter.send(address, "GET", "/v1/status")
            if isinstance(answer, transport_error.TransportError):
                found.append(InstanceStatus(address, None, answer.detail))
            elif answer.status != _OK:
                detail = str(answer.body.get("detail", answer.status))
                found.append(InstanceStatus(address, None, detail))
            else:
                found.append(InstanceStatus(address, answer.body))
        return found

    async def drain(self, node_id: str) -> int | SessionError:
        """Asks for the drain of a node's backend server.

        Returns:
            The number of control instances that will tell the node.
        """
        told = 0
        errors = []
        for address in self._settings.addresses:
            answer = await self._adapter.send(
                address, "POST", "/v1/drain", {"node_id": node_id}
            )
            if isinstance(answer, transport_error.TransportError):
                unreachable = SessionErrorReason.UNREACHABLE
                errors.append(SessionError(unreachable, str(answer.detail)))
            elif answer.status == _OK:
                told += 1
            else:
                errors.append(_read_error(answer))
        return told or errors[-1]

    async def _ask(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        accept: tuple[int, ...] = (),
    ) -> response_module.Response | SessionError:
        end_s = self._adapter.now_s() + self._settings.timeout_ms / 1000
        details: dict[str, str] = {}
        while True:
            pause_s = _PAUSE_S
            for address in self._settings.addresses:
                answer = await self._adapter.send(address, method, path, body)
                if isinstance(answer, transport_error.TransportError):
                    details[address] = answer.detail
                elif answer.status == _OK or answer.status in accept:
                    return answer
                elif answer.status < 500:
                    return _read_error(answer)
                else:
                    details[address] = str(answer.body.get("detail", ""))
                    pause_s = min(answer.retry_after_s, _MAXIMUM_PAUSE_S)
            if self._adapter.now_s() + pause_s >= end_s:
                text = "; ".join(
                    f"{key}: {one}" for key, one in details.items()
                )
                return SessionError(SessionErrorReason.UNREACHABLE, text)
            await self._adapter.pause(max(pause_s, _PAUSE_S))


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
