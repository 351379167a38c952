"""Checks that limits and leaving, told in answers, bind every instance."""

import collections
import math
from typing import NamedTuple

from tests.soak import answers
from tests.soak import rate_limits

MAXIMUM_DRAIN_S = 2.0


class Passed(NamedTuple):
    """An answer of a backend server that an instance passed on.

    Attributes:
        at_s: Time at which its caller had it, monotonic seconds.
        instance: Name of the instance.
        answer: The answer.
    """

    at_s: float
    instance: str
    answer: answers.Answer


class Sent(NamedTuple):
    """Where and when a request began.

    Attributes:
        at_s: Time, monotonic seconds.
        instance: Name of the instance.
    """

    at_s: float
    instance: str


def find_violations(observed, machines, records):
    """Returns one message for each violation.

    Args:
        observed: Requests of all clients.
        machines: The machines, with the times of their faults.
        records: Records of the backend servers, by name of the machine.
    """
    sent = _find_sent(observed, records)
    passed = collections.defaultdict(list)
    for answered in _find_passed(observed, records):
        passed[answered.answer.backend].append(answered)
    nodes = {machine.name: machine.node for machine in machines}
    violations = []
    for name, lines in records.items():
        by_process = collections.defaultdict(list)
        for line in lines:
            by_process[line["backend"]].append(line)
        for process, own in by_process.items():
            told = passed[process]
            violations += _check_limit(name, own, sent, told, nodes)
            violations += _check_leaving(name, own, sent, told, nodes)
    return violations


def _find_sent(observed, records):
    sent = {
        request.request_id: Sent(request.sent_s, request.machine)
        for request in observed
    }
    for name, lines in records.items():
        for line in lines:
            if line["event"] == "call-sent":
                sent[line["id"]] = Sent(line["at"], name)
    return sent


def _find_passed(observed, records):
    for request in observed:
        if request.answer is not None and request.answer.backend:
            yield Passed(request.ended_s, request.machine, request.answer)
    for name, lines in records.items():
        for line in lines:
            if line["event"] == "call-answered":
                answer = answers.Answer(*line["answer"])
                yield Passed(line["at"], name, answer)


def _check_limit(name, lines, sent, passed, nodes):
    namings = [
        rate_limits.Naming(line["at"], line["per_s"] or None)
        for line in lines
        if line["event"] == "limit"
    ]
    arrivals = [
        rate_limits.Arrival(line["at"], sent[line["id"]].instance)
        for line in lines
        if line["event"] == "arrive" and line["id"] in sent
    ]
    bindings = [
        rate_limits.Binding(
            answered.at_s,
            answered.instance,
            _find_next(nodes[answered.instance].fault_times_s, answered.at_s),
        )
        for answered in passed
        if answered.answer.rate_limit
    ]
    excesses = rate_limits.find_excesses(namings, arrivals, bindings)
    if excesses:
        worst = max(excesses, key=lambda excess: excess.count)
        yield f"LIMIT at {name}: {worst}"


def _check_leaving(name, lines, sent, passed, nodes):
    told = [answered for answered in passed if answered.answer.is_leaving]
    for line in lines:
        began = sent.get(line.get("id", ""))
        if line["event"] != "arrive" or began is None:
            continue
        for answered in told:
            signals_s = nodes[answered.instance].signal_times_s
            is_bound = (
                answered.instance == began.instance
                and began.at_s > answered.at_s + MAXIMUM_DRAIN_S
                and line["at"] < _find_next(signals_s, answered.at_s)
            )
            if is_bound:
                late_s = began.at_s - answered.at_s
                yield f"DRAIN {line['id']} at {name}, told {late_s:.1f} s ago"
                break


def _find_next(times_s, from_s):
    return min((at for at in times_s if at >= from_s), default=math.inf)
