"""The chapters of the demo."""

import signal
import time
from typing import Any

from cranberrymux.demo import cascade
from cranberrymux.demo import client_calls
from cranberrymux.demo import deployment
from cranberrymux.demo import endpoint_processes
from cranberrymux.demo import expectation
from cranberrymux.demo import load_run
from cranberrymux.demo import operator
from cranberrymux.demo import standin_calls

_CAPACITY_PER_S = (
    len(cascade.ZONES) * cascade.DEEP_SLOTS * 1000 / cascade.DEEP_TIME_MS
)
# Slow enough to overload, and still with room for every dispatch.
_SLOW_TIME_MS = 250.0

_IN_FORCE_BOUND_S = 2.0
_ELECTION_BOUND_S = 7.0
_RECOVERY_BOUND_S = 2
_LEAVING_BOUND_S = 3.0
_GOODPUT_SHARE_BOUND = 0.95
_PROTECTED_LOSS_BOUND = 0.001
_DEATHS_BOUND = 3


class Story:
    """Runs the chapters one after the other."""

    def __init__(self, folder: str) -> None:
        """Prepares a deployment in a folder."""
        self._deployment = deployment.Deployment(folder)
        self._results: list[expectation.Expectation] = []

    def run(self) -> bool:
        """Tells the whole story; returns True if every expectation held."""
        try:
            self._start()
            self._change_configuration()
            self._show_healthy()
            self._overload()
            self._kill_leader()
            self._resend_dispatch()
            self._drain()
            self._poison()
        finally:
            self._deployment.stop()
        return all(one.holds for one in self._results)

    def _start(self) -> None:
        began_s = time.monotonic()
        self._deployment.start_controls()
        self._deployment.start_services(cascade.PLANS)
        self._note(
            "start",
            f"3 control instances and {len(self._deployment.endpoints)} "
            f"endpoints serve after {time.monotonic() - began_s:.1f} s",
            "all serve; backend servers announced themselves",
            True,
        )

    def _change_configuration(self) -> None:
        self._apply(
            "configuration", cascade.CONFIGURATION, 1, _IN_FORCE_BOUND_S
        )

    def _show_healthy(self) -> None:
        report = load_run.read_report(
            self._load("healthy", 0.5 * _CAPACITY_PER_S, 3, 0)
        )["total"]
        self._note(
            "healthy",
            f"{report['done']} of {report['sent']} whole answers through "
            f"three services, {report['wrong']} wrong, {report['cut']} cut",
            "every one whole",
            report["done"] == report["sent"]
            and report["wrong"] == report["cut"] == 0,
        )

    def _overload(self) -> None:
        """A surge to twice capacity while the deep service is slow."""
        running = self._load("overload", 2 * _CAPACITY_PER_S, 10, 3)
        time.sleep(2)
        self._set_service_time(_SLOW_TIME_MS)
        time.sleep(4)
        self._set_service_time(cascade.DEEP_TIME_MS)
        report = load_run.read_report(running)
        total = report["total"]
        dispatch = report["kinds"]["dispatch"]
        lost = 1 - dispatch["done"] / dispatch["sent"]
        self._note(
            "overload",
            f"dispatches lost {lost:.2%} {dispatch['reasons'] or ''} at "
            f"{dispatch['attempts_per_request']:.2f} sendings each, "
            f"{total['wrong']} wrong, {total['cut']} cut",
            f"dispatches lost under {_PROTECTED_LOSS_BOUND:.1%}, none wrong "
            "or cut",
            lost < _PROTECTED_LOSS_BOUND
            and total["wrong"] == total["cut"] == 0,
        )
        after = total["goodput"][6 + _RECOVERY_BOUND_S : 10]
        share = sum(after) / len(after) / _CAPACITY_PER_S
        self._note(
            "recovery",
            f"goodput {share:.0%} of capacity from {_RECOVERY_BOUND_S} s after "
            "the slow service was mended, at twice the load",
            f"at least {_GOODPUT_SHARE_BOUND:.0%}",
            share >= _GOODPUT_SHARE_BOUND,
        )

    def _kill_leader(self) -> None:
        leader = self._find_leader()
        began_s = time.monotonic()
        for control in self._deployment.controls:
            if control.name == leader:
                control.send_signal(signal.SIGKILL)
        document = cascade.CONFIGURATION + "default_timeout_ms: 4000\n"
        self._apply("leader killed", document, 2, _ELECTION_BOUND_S, began_s)

    def _resend_dispatch(self) -> None:
        """Sends one dispatch to both entry nodes, again and again."""
        request_id = client_calls.make_request_id()
        answers = []
        for _ in range(3):
            for endpoint in self._deployment.find(cascade.ENTRY):
                answers.append(
                    client_calls.post(
                        endpoint.ingress_port, "/dispatch", request_id
                    )
                )
        runs = sum(
            standin_calls.count_runs(endpoint, request_id)
            for endpoint in self._deployment.find(cascade.ENTRY)
        )
        self._note(
            "dispatch resent",
            f"6 sendings at two nodes, {answers.count(200)} answers, "
            f"{runs} run",
            "one run, six answers",
            runs == 1 and answers.count(200) == len(answers),
        )

    def _drain(self) -> None:
        leaving = self._deployment.find(cascade.DEEP)[0]
        running = self._load("drain", 0.3 * _CAPACITY_PER_S, 6, 0)
        time.sleep(1)
        operator.run_command(self._deployment, "drain", leaving.node_id)
        time.sleep(_LEAVING_BOUND_S)
        before = standin_calls.count_started(leaving)
        report = load_run.read_report(running)["total"]
        taken = standin_calls.count_started(leaving) - before
        self._note(
            "drain",
            f"{taken} calls taken from {_LEAVING_BOUND_S:.0f} s after the "
            f"drain, {report['sent'] - report['done']} of {report['sent']} "
            f"requests lost {report['reasons'] or ''}",
            "no call taken, no request lost",
            taken == 0 and report["done"] == report["sent"],
        )

    def _poison(self) -> None:
        """One request kills each backend server that runs it."""
        request_id = client_calls.make_request_id()
        deaths = 0
        for _ in range(8):
            for endpoint in self._deployment.find(cascade.MIDDLE):
                client_calls.post(
                    endpoint.ingress_port,
                    "/lookup",
                    request_id,
                    cascade.CRASH_MARKER,
                )
                deaths += self._revive(endpoint)
        self._note(
            "poison",
            f"{deaths} backend servers lost to one request sent 16 times",
            f"at most {_DEATHS_BOUND}",
            deaths <= _DEATHS_BOUND,
        )

    def _revive(self, endpoint: endpoint_processes.EndpointProcesses) -> int:
        assert endpoint.backend is not None
        time.sleep(0.1)
        if endpoint.backend.is_running:
            return 0
        endpoint.backend.restart()
        while not standin_calls.is_listening(endpoint):
            time.sleep(0.05)
        return 1

    def _apply(
        self,
        chapter: str,
        document: str,
        version: int,
        bound_s: float,
        began_s: float | None = None,
    ) -> None:
        start_s = time.monotonic() if began_s is None else began_s
        done = operator.run_command(
            self._deployment, "apply", "-", text=document
        )
        self._deployment.wait_for_version(version)
        elapsed_s = time.monotonic() - start_s
        self._note(
            chapter,
            f"version {version} in force at every node {elapsed_s:.2f} s "
            f"after the {'kill' if began_s else 'command'}",
            f"within {bound_s:.0f} s",
            done.exit_code == 0 and elapsed_s <= bound_s,
        )

    def _find_leader(self) -> str:
        status = operator.run_command(self._deployment, "status").values
        for one in status:
            if one.get("role") == "leader":
                return str(one["control_id"])
        return ""

    def _load(
        self, name: str, rate: float, seconds: float, resends: int
    ) -> Any:
        return load_run.start_load(
            self._deployment,
            name,
            self._deployment.ingress_addresses(cascade.ENTRY),
            rate,
            seconds,
            load_run.make_kinds(resends),
        )

    def _set_service_time(self, service_time_ms: float) -> None:
        for endpoint in self._deployment.find(cascade.DEEP):
            standin_calls.set_service_time(endpoint, service_time_ms)

    def _note(
        self, chapter: str, shown: str, expected: str, holds: bool
    ) -> None:
        one = expectation.Expectation(chapter, shown, expected, holds)
        one.print()
        self._results.append(one)
