"""Checks the guarantees on client accounts, on the records of the soak."""

import itertools
import math

from cranberrymux.decisions.quotas import quota_settings
from tests.soak import accounts

REVOKE_S = 3.0
# A frozen backend server or connection holds a request back for so long.
EXCUSED_AFTER_FAULT_S = 3.0
SETTINGS = quota_settings.QuotaSettings()
_PREFIX = "key-"
_NOT_RUN_STATUSES = (401, 429)


def find_violations(
    observed, records, late_times_s, acknowledged, sent=(0, math.inf)
):
    """Returns one message for each violation.

    Args:
        observed: Requests with keys of all clients.
        records: Records of the backend servers, by name of the machine.
        late_times_s: Faults after which requests begin late, monotonic seconds,
            by name of the machine.
        acknowledged: Versions that were acknowledged, in order.
        sent: The last version that was sent, and when, monotonic seconds; it
            may be in force without an acknowledgement.
    """
    begins = sorted(
        (
            line
            for line in itertools.chain.from_iterable(records.values())
            if line["event"] == "begin" and not is_call(line["id"])
        ),
        key=lambda line: line["at"],
    )
    violations = [*_check_names(begins)]
    for machine, lines in records.items():
        own = [
            line
            for line in lines
            if line["event"] == "begin" and not is_call(line["id"])
        ]
        violations += _check_keys(own, acknowledged, late_times_s[machine])
    for name, limit in accounts.get_limits(0).items():
        if not limit.per_s:
            continue
        times_s = [line["at"] for line in begins if get_account(line) == name]
        violations += _check_quota(name, times_s, acknowledged, sent)
    violations += _check_statuses(observed, {line["id"] for line in begins})
    return violations


def is_call(request_id):
    """True for the id of a call of a backend server."""
    return "." in request_id


def get_account(line):
    """Returns the account of a run by the key that its id names."""
    request_id = line["id"]
    if not request_id.startswith(_PREFIX):
        return ""
    return request_id.removeprefix(_PREFIX).partition("-")[0]


def _get_key(request_id):
    return request_id.rpartition("-")[0]


def _check_names(begins):
    for line in begins:
        expected = get_account(line)
        name = line.get("tenant", "")
        if name != expected:
            yield f"ACCOUNT {line['id']} ran as {name!r}, not {expected!r}"


def _check_keys(begins, acknowledged, late_times_s):
    """Checks that a key runs nowhere later than `REVOKE_S` after its end."""
    removed_s = {}
    present = None
    for each in acknowledged:
        key = accounts.get_key("rotating", each.version)
        if present is not None and key != present:
            removed_s[present] = each.at_s
        present = key
    for line in begins:
        end_s = removed_s.get(_get_key(line["id"]), math.inf) + REVOKE_S
        is_excused = any(
            line["at"] - EXCUSED_AFTER_FAULT_S <= at <= line["at"]
            for at in late_times_s
        )
        if line["at"] > end_s and not is_excused:
            yield f"REVOKED {line['id']} ran {line['at'] - end_s:.2f} s late"


def _check_quota(name, times_s, acknowledged, sent):
    """Checks each window against the highest limit that was binding in it."""
    changes = [
        (each.sent_s, accounts.get_limits(each.version)[name])
        for each in acknowledged
    ]
    if not acknowledged or sent[0] > acknowledged[-1].version:
        changes.append((sent[1], accounts.get_limits(sent[0])[name]))
    ends_s = [each.at_s for each in acknowledged[1:]]
    ends_s += [math.inf] * (len(changes) - len(ends_s))
    spans = [
        (begin_s, end_s + SETTINGS.window_s, limit)
        for (begin_s, limit), end_s in zip(changes, ends_s, strict=True)
    ]
    first = 0
    worst = None
    for last, end_s in enumerate(times_s):
        while times_s[first] < end_s - SETTINGS.window_s:
            first += 1
        allowed = max(
            (
                _get_bound(limit)
                for span_from_s, span_until_s, limit in spans
                if span_from_s <= end_s and span_until_s >= times_s[first]
            ),
            default=math.inf,
        )
        count = last - first + 1
        if count > allowed and (worst is None or count - allowed > worst[0]):
            worst = (count - allowed, count, allowed, end_s)
    if worst is not None:
        yield (
            f"QUOTA {name}: {worst[1]} ran in {SETTINGS.window_s:.0f} s,"
            f" allowed {worst[2]:.1f}, at {worst[3]:.3f} s"
        )


def _get_bound(limit):
    quota = limit.per_s * SETTINGS.window_s + limit.burst
    return quota * (1 + SETTINGS.over) + SETTINGS.slack


def _check_statuses(observed, run_ids):
    """Checks refusals, and that an account within its quota is served."""
    for request in observed:
        is_refused = request.status in _NOT_RUN_STATUSES
        if is_refused and request.request_id in run_ids:
            yield f"REFUSED {request.request_id} got {request.status} and ran"
    served = sum(
        request.status == 200
        for request in observed
        if request.request_id.startswith("key-steady")
    )
    if observed and not served:
        yield "ACCOUNT no request within its quota was served"
