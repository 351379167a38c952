"""The steps of the demo and what each must show."""

import signal
import time
from typing import Any

from cranberrymux.demo import client_requests
from cranberrymux.demo import deployment
from cranberrymux.demo import endpoint_processes
from cranberrymux.demo import expectation
from cranberrymux.demo import load_run
from cranberrymux.demo import operator_cli
from cranberrymux.demo import service_chain
from cranberrymux.demo import standin_client

_CAPACITY_PER_S = (
    len(service_chain.ZONES)
    * service_chain.LEAF_SLOTS
    * 1000
    / service_chain.LEAF_SERVICE_TIME_MS
)
# Overloads the service but leaves capacity for every dispatch.
_SLOW_SERVICE_TIME_MS = 250.0

_APPLY_BOUND_S = 2.0
_ELECTION_BOUND_S = 7.0
_RECOVERY_BOUND_S = 2
_DRAIN_BOUND_S = 3.0
_GOODPUT_SHARE_BOUND = 0.95
_PROTECTED_LOSS_BOUND = 0.001
_CRASHES_BOUND = 3


class Scenario:
    """Runs the steps in order on one deployment."""

    def __init__(self, folder: str) -> None:
        """Prepares a deployment; starts no process.

        Args:
            folder: Existing folder for settings files, logs and state.
        """
        self._deployment = deployment.Deployment(folder)
        self._results: list[expectation.Expectation] = []

    def run(self) -> bool:
        """Runs every step and stops the deployment.

        Returns:
            True if every expectation held.
        """
        try:
            self._start()
            self._change_configuration()
            self._send_light_load()
            self._overload_leaf_service()
            self._kill_leader_and_apply()
            self._resend_dispatch()
            self._drain_endpoint()
            self._send_poison_request()
        finally:
            self._deployment.stop()
        return all(result.holds for result in self._results)

    def _start(self) -> None:
        began_s = time.monotonic()
        self._deployment.start_control_instances()
        self._deployment.start_services(service_chain.SERVICE_PLANS)
        self._record(
            "start",
            f"3 control instances and {len(self._deployment.endpoints)} "
            f"endpoints serve after {time.monotonic() - began_s:.1f} s",
            "all serve and every backend server is announced",
            True,
        )

    def _change_configuration(self) -> None:
        self._apply(
            "configuration", service_chain.CONFIGURATION, 1, _APPLY_BOUND_S
        )

    def _send_light_load(self) -> None:
        report = load_run.read_report(
            self._start_load("healthy", 0.5 * _CAPACITY_PER_S, 3, 0)
        )["total"]
        self._record(
            "healthy",
            f"{report['done']} of {report['sent']} complete responses through "
            f"three services, {report['wrong']} wrong, {report['cut']} cut",
            "every response complete",
            report["done"] == report["sent"]
            and report["wrong"] == report["cut"] == 0,
        )

    def _overload_leaf_service(self) -> None:
        """Sends twice the capacity and slows the leaf service for 4 s."""
        running = self._start_load("overload", 2 * _CAPACITY_PER_S, 10, 3)
        time.sleep(2)
        self._set_service_time(_SLOW_SERVICE_TIME_MS)
        time.sleep(4)
        self._set_service_time(service_chain.LEAF_SERVICE_TIME_MS)
        report = load_run.read_report(running)
        total = report["total"]
        dispatch = report["kinds"]["dispatch"]
        lost_share = 1 - dispatch["done"] / dispatch["sent"]
        self._record(
            "overload",
            f"dispatches lost {lost_share:.2%} {dispatch['reasons'] or ''} at "
            f"{dispatch['attempts_per_request']:.2f} attempts each, "
            f"{total['wrong']} wrong, {total['cut']} cut",
            f"dispatches lost under {_PROTECTED_LOSS_BOUND:.1%}, none wrong "
            "or cut",
            lost_share < _PROTECTED_LOSS_BOUND
            and total["wrong"] == total["cut"] == 0,
        )
        recovered = total["goodput"][6 + _RECOVERY_BOUND_S : 10]
        share = sum(recovered) / len(recovered) / _CAPACITY_PER_S
        self._record(
            "recovery",
            f"goodput {share:.0%} of capacity from {_RECOVERY_BOUND_S} s after "
            "the service time is back to normal, at twice the load",
            f"at least {_GOODPUT_SHARE_BOUND:.0%}",
            share >= _GOODPUT_SHARE_BOUND,
        )

    def _kill_leader_and_apply(self) -> None:
        leader = self._find_leader()
        began_s = time.monotonic()
        for control in self._deployment.control_instances:
            if control.name == leader:
                control.send_signal(signal.SIGKILL)
        document = service_chain.CONFIGURATION + "default_timeout_ms: 4000\n"
        self._apply("leader killed", document, 2, _ELECTION_BOUND_S, began_s)

    def _resend_dispatch(self) -> None:
        """Sends one dispatch three times to each of the two entry nodes."""
        request_id = client_requests.make_request_id()
        statuses = []
        for _ in range(3):
            for endpoint in self._deployment.find_endpoints(
                service_chain.ENTRY_SERVICE
            ):
                statuses.append(
                    client_requests.post(
                        endpoint.ingress_port, "/dispatch", request_id
                    )
                )
        runs = sum(
            standin_client.count_runs(endpoint, request_id)
            for endpoint in self._deployment.find_endpoints(
                service_chain.ENTRY_SERVICE
            )
        )
        self._record(
            "dispatch resent",
            f"6 attempts at two nodes, {statuses.count(200)} responses, "
            f"{runs} run",
            "one run, six responses",
            runs == 1 and statuses.count(200) == len(statuses),
        )

    def _drain_endpoint(self) -> None:
        draining = self._deployment.find_endpoints(service_chain.LEAF_SERVICE)[
            0
        ]
        running = self._start_load("drain", 0.3 * _CAPACITY_PER_S, 6, 0)
        time.sleep(1)
        operator_cli.run_command(self._deployment, "drain", draining.node_id)
        time.sleep(_DRAIN_BOUND_S)
        before = standin_client.count_started(draining)
        report = load_run.read_report(running)["total"]
        accepted = standin_client.count_started(draining) - before
        self._record(
            "drain",
            f"{accepted} calls accepted from {_DRAIN_BOUND_S:.0f} s after the "
            f"drain, {report['sent'] - report['done']} of {report['sent']} "
            f"requests lost {report['reasons'] or ''}",
            "no call accepted, no request lost",
            accepted == 0 and report["done"] == report["sent"],
        )

    def _send_poison_request(self) -> None:
        """Sends a request that crashes each backend server that runs it."""
        request_id = client_requests.make_request_id()
        crashes = 0
        for _ in range(8):
            for endpoint in self._deployment.find_endpoints(
                service_chain.MIDDLE_SERVICE
            ):
                client_requests.post(
                    endpoint.ingress_port,
                    "/lookup",
                    request_id,
                    service_chain.CRASH_MARKER,
                )
                crashes += self._restart_if_crashed(endpoint)
        self._record(
            "poison",
            f"{crashes} crashes of backend servers from one request sent 16 "
            "times",
            f"at most {_CRASHES_BOUND}",
            crashes <= _CRASHES_BOUND,
        )

    def _restart_if_crashed(
        self, endpoint: endpoint_processes.EndpointProcesses
    ) -> int:
        assert endpoint.backend is not None
        time.sleep(0.1)
        if endpoint.backend.is_running:
            return 0
        endpoint.backend.restart()
        while not standin_client.is_listening(endpoint):
            time.sleep(0.05)
        return 1

    def _apply(
        self,
        step: str,
        document: str,
        version: int,
        bound_s: float,
        began_s: float | None = None,
    ) -> None:
        start_s = time.monotonic() if began_s is None else began_s
        command = operator_cli.run_command(
            self._deployment, "apply", "-", text=document
        )
        self._deployment.wait_until_in_force(version)
        elapsed_s = time.monotonic() - start_s
        self._record(
            step,
            f"version {version} in force at every node {elapsed_s:.2f} s "
            f"after the {'kill' if began_s else 'command'}",
            f"within {bound_s:.0f} s",
            command.exit_code == 0 and elapsed_s <= bound_s,
        )

    def _find_leader(self) -> str:
        status = operator_cli.run_command(self._deployment, "status").values
        for instance in status:
            if instance.get("role") == "leader":
                return str(instance["control_id"])
        return ""

    def _start_load(
        self, name: str, rate: float, seconds: float, resends: int
    ) -> Any:
        return load_run.start_load(
            self._deployment,
            name,
            self._deployment.ingress_addresses(service_chain.ENTRY_SERVICE),
            rate,
            seconds,
            load_run.make_request_kinds(resends),
        )

    def _set_service_time(self, service_time_ms: float) -> None:
        for endpoint in self._deployment.find_endpoints(
            service_chain.LEAF_SERVICE
        ):
            standin_client.set_service_time(endpoint, service_time_ms)

    def _record(
        self, step: str, observed: str, expected: str, holds: bool
    ) -> None:
        result = expectation.Expectation(step, observed, expected, holds)
        result.print()
        self._results.append(result)
