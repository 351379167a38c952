"""What one run comes to."""

import bisect
from typing import NamedTuple

from bench.overload import backend
from bench.overload import deployment
from bench.overload import recorder as recorder_module
from bench.overload import scenario
from bench.overload import world

WINDOW_S = 0.25
RECOVERY_TIME_S = 2.0
ORDER_WINDOW_S = 0.1
RECOVERED_SHARE = 0.95


class Summary(NamedTuple):
    """Figures of one run.

    Attributes:
        goodput: Whole requests completed during the cause, as a share of what
            the capacity and the demand allowed.
        protected_loss: Share of protected requests lost among those that
            arrived during the cause or its recovery while a lower class was
            admitted.
        protected_unanswered: Share of all protected requests that arrived
            during the cause or its recovery and were not answered whole.
        recovery_s: Seconds from the end of the cause (or until crashed
            backend servers are warm) until 95% of arriving requests are
            answered, and go on being so; the whole run if it ends before.
        attempts: Attempts per call that had to be made.
        work: Calls run for each call of a whole answered request.
        wrong: Wrong or cut answers.
        deaths: Backend servers lost to poison.
    """

    goodput: float
    protected_loss: float
    protected_unanswered: float
    recovery_s: float
    attempts: float
    work: float
    wrong: int
    deaths: int


def summarise(
    where: deployment.Deployment,
    plan: scenario.Scenario,
    recorder: recorder_module.Recorder,
) -> Summary:
    """Computes the figures of one run."""
    ended = [one for one in recorder.ended if not one.is_poison]
    lengths = {kind.class_rank: len(kind.chain) for kind in where.kinds}
    useful = sum(lengths[one.class_rank] for one in ended if one.is_done)
    return Summary(
        _get_goodput(where, plan, ended),
        _get_protected_loss(plan, ended),
        _get_protected_unanswered(plan, ended),
        _get_recovery_s(plan, ended, max(plan.ends_s, recorder.warm_s)),
        recorder.attempts / max(recorder.calls, 1),
        recorder.runs / max(useful, 1),
        recorder.wrong,
        recorder.deaths,
    )


def _get_goodput(
    where: deployment.Deployment,
    plan: scenario.Scenario,
    ended: list[recorder_module.Ended],
) -> float:
    done = sum(one.is_done and plan.is_on(one.ended_s) for one in ended)
    share = min(plan.cause_rate, 1 / plan.slow_factor)
    seconds = plan.ends_s - plan.begins_s
    if plan.restarts:
        return done / (where.capacity_per_s * _get_restart_share(where, plan))
    return done / (where.capacity_per_s * share * seconds)


def _get_restart_share(
    where: deployment.Deployment, plan: scenario.Scenario
) -> float:
    """Integrates what the demand and the restarting endpoints allow."""
    count = next(
        one.endpoints for one in where.services if one.name == where.deepest
    )
    lost = max(count // 3, 1) / count
    step_s = 0.01
    total = 0.0
    for number in range(round((plan.ends_s - plan.begins_s) / step_s)):
        since_s = number * step_s - world.DOWN_S
        left = min(max(1.0 - since_s / world.WARM_S, 0.0), 1.0)
        speed = 1.0 / (1.0 + (backend.COLD_FACTOR - 1.0) * left)
        if since_s < 0.0:
            speed = 0.0
        total += step_s * min(plan.cause_rate, 1.0 - lost + lost * speed)
    return total


def _get_protected_loss(
    plan: scenario.Scenario, ended: list[recorder_module.Ended]
) -> float:
    """Counts protected requests lost while lower ones were admitted.

    What counts are protected requests during whose last try, or within
    `ORDER_WINDOW_S` after it, a lower request was sent that was answered
    whole.
    """
    until_s = plan.ends_s + RECOVERY_TIME_S
    lower = sorted(
        one.arrived_s for one in ended if one.is_done and not one.is_protected
    )
    total = 0
    lost = 0
    for one in ended:
        if not one.is_protected:
            continue
        if not plan.begins_s <= one.arrived_s < until_s:
            continue
        latest_s = one.ended_s + ORDER_WINDOW_S
        index = bisect.bisect_left(lower, one.sent_s)
        if index == len(lower) or lower[index] > latest_s:
            continue
        total += 1
        lost += not one.is_done
    return lost / max(total, 1)


def _get_protected_unanswered(
    plan: scenario.Scenario, ended: list[recorder_module.Ended]
) -> float:
    until_s = plan.ends_s + RECOVERY_TIME_S
    arrived = [
        one.is_done
        for one in ended
        if one.is_protected and plan.begins_s <= one.arrived_s < until_s
    ]
    return 1.0 - sum(arrived) / max(len(arrived), 1)


def _get_recovery_s(
    plan: scenario.Scenario,
    ended: list[recorder_module.Ended],
    cause_ends_s: float,
) -> float:
    last_s = plan.run_s - plan.timeout_s - WINDOW_S
    counts: dict[int, list[int]] = {}
    for one in ended:
        if cause_ends_s <= one.arrived_s < last_s:
            window = int((one.arrived_s - cause_ends_s) / WINDOW_S)
            count = counts.setdefault(window, [0, 0])
            count[0] += one.is_done
            count[1] += 1
    if not counts:
        return plan.run_s
    bad = [
        window
        for window, (done, total) in counts.items()
        if done < RECOVERED_SHARE * total
    ]
    return (max(bad) + 1) * WINDOW_S if bad else 0.0
