"""Checks the guarantees on the records of clients and backend servers."""

import collections
import json

from tests.soak import answers
from tests.soak import crashing
from tests.soak import self_report_checks

NOT_RUN_STATUSES = (408, 421, 429, 503)
MAXIMUM_DRAIN_S = 2.0
MAXIMUM_RUNS = 3
# Requests may hang for so long after a fault of their machine.
EXCUSED_AFTER_FAULT_S = 6.0


def read_records(path):
    """Returns the records of one backend server.

    Lines that are no JSON are skipped, such as one that a kill cut off.
    """
    records = []
    if not path.exists():
        return records
    for line in path.read_text(errors="replace").splitlines():
        try:
            records.append(json.loads(line))
        except ValueError:
            continue
    return records


def find_violations(observed, machines, watch):
    """Returns one message for each violation of a guarantee.

    Args:
        observed: Requests of all clients.
        machines: The machines, with the records of their backend servers.
        watch: Stalls of this process, which excuse requests that hung.
    """
    records = {
        machine.name: read_records(machine.records) for machine in machines
    }
    runs = collections.Counter(
        record["id"]
        for lines in records.values()
        for record in lines
        if record["event"] == "begin"
    )
    violations = []
    for request in observed:
        violations += _check_request(request, runs[request.request_id])
    violations += _check_hangs(observed, machines, watch)
    violations += self_report_checks.find_violations(
        observed, machines, records
    )
    violations += crashing.find_violations(records)
    for name, lines in records.items():
        violations += _check_calls(lines)
        violations += _check_drains(name, lines)
    return violations


def _check_request(request, runs):
    if request.is_at_most_once and runs > 1:
        yield f"TWICE {request.request_id} ran {runs} times"
    if runs > MAXIMUM_RUNS:
        yield f"BUDGET {request.request_id} ran {runs} times"
    if request.status in NOT_RUN_STATUSES and request.is_at_most_once and runs:
        yield f"REFUSED {request.request_id} got {request.status} and ran"
    if request.answer is not None:
        yield from _check_answer(request.request_id, request.answer)
    if request.status == 200 and not runs:
        yield f"MIXED {request.request_id}: a success that never ran"


def _check_answer(request_id, answer):
    for mismatch in answers.find_mismatches(request_id, answer):
        yield f"MIXED {request_id} got {answer.status}: {mismatch}"


def _check_calls(lines):
    """Checks the answers that a backend server got to its own calls."""
    for record in lines:
        if record["event"] == "call-answered":
            answer = answers.Answer(*record["answer"])
            yield from _check_answer(record["id"], answer)


def _check_hangs(observed, machines, watch):
    fault_times_s = {
        machine.name: sorted(machine.node.fault_times_s) for machine in machines
    }
    for request in observed:
        if request.status >= 0:
            continue
        is_excused = any(
            request.sent_s - EXCUSED_AFTER_FAULT_S <= at <= request.ended_s
            for at in fault_times_s[request.machine]
        )
        if not is_excused and not watch.overlaps(
            request.sent_s, request.ended_s
        ):
            waited_s = request.ended_s - request.sent_s
            place = f"{request.request_id} at {request.machine}"
            yield f"HANG {place}: {waited_s:.1f} s"


def _check_drains(name, lines):
    acknowledged_s = {}
    for record in lines:
        backend_id = record["backend"]
        if record["event"] == "drain-acknowledged":
            acknowledged_s.setdefault(backend_id, record["at"])
        elif record["event"] == "begin" and backend_id in acknowledged_s:
            delay_s = record["at"] - acknowledged_s[backend_id]
            if delay_s > MAXIMUM_DRAIN_S:
                yield f"DRAIN {record['id']} at {name}, {delay_s:.1f} s late"


def find_recovery_violations(observed, from_s, minimum_share=0.9):
    """Checks that requests are served again after the last fault.

    Args:
        observed: Requests of all clients.
        from_s: Time from which requests count, monotonic seconds.
        minimum_share: Minimum share of them that has to be served, from 0 to 1.

    Returns:
        One message if too few were sent or served, else none.
    """
    counted = [request for request in observed if request.sent_s >= from_s]
    served = sum(request.status == 200 for request in counted)
    if len(counted) < 20:
        return [f"RECOVER only {len(counted)} requests were sent"]
    if served < minimum_share * len(counted):
        counts = dict(
            collections.Counter(request.status for request in counted)
        )
        return [f"RECOVER {served} of {len(counted)} were served: {counts}"]
    return []
