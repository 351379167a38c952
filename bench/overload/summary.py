"""Figures of one simulation run."""

import bisect
from typing import NamedTuple

from bench.overload import backend
from bench.overload import deployment as deployment_module
from bench.overload import recorder as recorder_module
from bench.overload import scenario as scenario_module
from bench.overload import simulation

RECOVERY_WINDOW_S = 0.25
RECOVERY_TIME_S = 2.0
ORDER_WINDOW_S = 0.1
RECOVERED_SHARE = 0.95


class Summary(NamedTuple):
    """Result of one run.

    Goodput, both protected shares and recovery leave out poison requests.

    Attributes:
        goodput: Requests answered during the cause, as a share of those that
            capacity and demand allow.
        protected_loss: Share of unanswered requests among the protected ones
            that arrived during the cause or within `RECOVERY_TIME_S` after it
            and were overtaken, as an unprotected request that arrived near
            their last send was answered.
        protected_unanswered: Share of unanswered requests among all protected
            ones that arrived in the same time.
        recovery_s: Seconds from the end of the cause, or from when the last
            crashed backend server is warm if that is later, until at least
            95% of the arriving requests are answered for the rest of the run;
            the length of the run if that leaves no request to count.
        attempts_per_call: Attempts per call that was sent.
        runs_per_useful_run: Calls run by backend servers per call of an
            answered request.
        wrong_answers: Number of incomplete or wrong answers.
        deaths: Number of times that poison crashed a backend server.
    """

    goodput: float
    protected_loss: float
    protected_unanswered: float
    recovery_s: float
    attempts_per_call: float
    runs_per_useful_run: float
    wrong_answers: int
    deaths: int


def summarise(
    deployment: deployment_module.Deployment,
    scenario: scenario_module.Scenario,
    recorder: recorder_module.Recorder,
) -> Summary:
    """Computes the figures of one run.

    Args:
        deployment: Deployment of the run.
        scenario: Scenario of the run.
        recorder: What the run recorded.
    """
    ended = [request for request in recorder.ended if not request.is_poison]
    lengths = {kind.class_rank: len(kind.chain) for kind in deployment.kinds}
    useful_runs = sum(
        lengths[request.class_rank] for request in ended if request.is_answered
    )
    return Summary(
        _get_goodput(deployment, scenario, ended),
        _get_protected_loss(scenario, ended),
        _get_protected_unanswered(scenario, ended),
        _get_recovery_s(
            scenario, ended, max(scenario.ends_s, recorder.last_warm_s)
        ),
        recorder.attempts / max(recorder.calls, 1),
        recorder.runs / max(useful_runs, 1),
        recorder.wrong_answers,
        recorder.deaths,
    )


def _get_goodput(
    deployment: deployment_module.Deployment,
    scenario: scenario_module.Scenario,
    ended: list[recorder_module.EndedRequest],
) -> float:
    done = sum(
        request.is_answered and scenario.is_during_cause(request.ended_s)
        for request in ended
    )
    allowed_share = min(scenario.cause_rate, 1 / scenario.slow_factor)
    cause_s = scenario.ends_s - scenario.begins_s
    if scenario.restarts:
        return done / (
            deployment.capacity_per_s * _get_restart_share(deployment, scenario)
        )
    return done / (deployment.capacity_per_s * allowed_share * cause_s)


def _get_restart_share(
    deployment: deployment_module.Deployment, scenario: scenario_module.Scenario
) -> float:
    """Returns the goodput that a restart of a third of the endpoints allows.

    Returns:
        Seconds of full capacity during the cause: the integral over time of
        the smaller of demand and available capacity, both as shares.
    """
    count = next(
        service.endpoints
        for service in deployment.services
        if service.name == deployment.deepest
    )
    lost_share = max(count // 3, 1) / count
    step_s = 0.01
    total = 0.0
    for step in range(round((scenario.ends_s - scenario.begins_s) / step_s)):
        since_s = step * step_s - simulation.RESTART_DOWN_S
        cold_share = min(
            max(1.0 - since_s / simulation.RESTART_WARM_UP_S, 0.0), 1.0
        )
        speed = 1.0 / (1.0 + (backend.COLD_SLOW_FACTOR - 1.0) * cold_share)
        if since_s < 0.0:
            speed = 0.0
        total += step_s * min(
            scenario.cause_rate, 1.0 - lost_share + lost_share * speed
        )
    return total


def _get_protected_loss(
    scenario: scenario_module.Scenario,
    ended: list[recorder_module.EndedRequest],
) -> float:
    """Returns the share of protected requests lost to lower classes.

    Counts only protected requests for which an unprotected request that was
    answered arrived from their last send until `ORDER_WINDOW_S` after their
    end.
    """
    until_s = scenario.ends_s + RECOVERY_TIME_S
    lower_arrivals_s = sorted(
        request.arrived_s
        for request in ended
        if request.is_answered and not request.is_protected
    )
    total = 0
    lost = 0
    for request in ended:
        if not request.is_protected:
            continue
        if not scenario.begins_s <= request.arrived_s < until_s:
            continue
        latest_s = request.ended_s + ORDER_WINDOW_S
        index = bisect.bisect_left(lower_arrivals_s, request.last_sent_s)
        if index == len(lower_arrivals_s) or lower_arrivals_s[index] > latest_s:
            continue
        total += 1
        lost += not request.is_answered
    return lost / max(total, 1)


def _get_protected_unanswered(
    scenario: scenario_module.Scenario,
    ended: list[recorder_module.EndedRequest],
) -> float:
    until_s = scenario.ends_s + RECOVERY_TIME_S
    answered = [
        request.is_answered
        for request in ended
        if request.is_protected
        and scenario.begins_s <= request.arrived_s < until_s
    ]
    return 1.0 - sum(answered) / max(len(answered), 1)


def _get_recovery_s(
    scenario: scenario_module.Scenario,
    ended: list[recorder_module.EndedRequest],
    cause_ends_s: float,
) -> float:
    last_s = scenario.run_s - scenario.timeout_s - RECOVERY_WINDOW_S
    counts: dict[int, list[int]] = {}
    for request in ended:
        if cause_ends_s <= request.arrived_s < last_s:
            window = int((request.arrived_s - cause_ends_s) / RECOVERY_WINDOW_S)
            count = counts.setdefault(window, [0, 0])
            count[0] += request.is_answered
            count[1] += 1
    if not counts:
        return scenario.run_s
    failed_windows = [
        window
        for window, (done, total) in counts.items()
        if done < RECOVERED_SHARE * total
    ]
    return (
        (max(failed_windows) + 1) * RECOVERY_WINDOW_S if failed_windows else 0.0
    )
