"""Checks what control instances answer to reads of the configuration."""

import collections

from tests.soak.configuration import handling_checks
from tests.soak.configuration import history as history_module

MAXIMUM_ACKNOWLEDGEMENT_S = 4.0


def find_violations(reads, history):
    """Returns one message for each read that is older than it may be.

    Args:
        reads: All answers with a configuration.
        history: The changes that were sent.
    """
    possible = history.possible
    digests = collections.defaultdict(set)
    for change in possible:
        digests[change.document.version].add(
            history_module.make_digest(change.document.body)
        )
    violations = []
    for read in reads:
        floor = handling_checks.get_floor(
            possible, read.sent_s - handling_checks.APPLY_S
        )
        place = f"{read.ip} tells {read.version} at {read.sent_s:.3f} s"
        if read.version < floor:
            violations.append(f"CONFIG {place}, {floor} was acknowledged")
        if read.digest not in digests[read.version]:
            violations.append(f"CONFIG {place}, with other content than sent")
    return violations


def find_final_violations(reads, history, ips, from_s, recovery_s):
    """Checks that each instance answers with the newest version at the end.

    Args:
        reads: All answers with a configuration.
        history: The changes that were sent.
        ips: Addresses of the control instances that run at the end.
        from_s: Time from which all run again, monotonic seconds.
        recovery_s: Time within which each must answer, seconds.
    """
    floor = handling_checks.get_floor(history.possible, from_s)
    for ip in ips:
        is_read = any(
            read.ip == ip
            and read.version >= floor
            and read.sent_s >= from_s
            and read.ended_s <= from_s + recovery_s
            for read in reads
        )
        if not is_read:
            yield f"CONFIG {ip} does not tell {floor} in {recovery_s} s"


def find_conflicts(history):
    """Checks that of the changes on one version one is accepted at the most."""
    accepted = collections.defaultdict(list)
    for change in history.changes:
        document = change.document
        if not change.is_acknowledged:
            continue
        if document.invalid_kind:
            yield f"CONFIG invalid was acknowledged: {document.invalid_kind}"
        accepted[document.base].append(document.version)
    for base, versions in accepted.items():
        if len(versions) > 1:
            yield f"CONFIG {versions} on top of {base} were acknowledged"


def find_late_acknowledgements(history, spans, targets, ended_s):
    """Checks that valid changes are answered in time in calm times.

    Args:
        history: The changes that were sent.
        spans: All disturbances.
        targets: Names of control instances and of their disks.
        ended_s: Time until which changes were sent, monotonic seconds.
    """
    for change in history.changes:
        if change.document.invalid_kind:
            continue
        answered_s = min(change.acknowledged_s, change.refused_s, ended_s)
        from_s = answered_s - MAXIMUM_ACKNOWLEDGEMENT_S
        if change.sent_s < from_s and spans.is_calm(
            targets, from_s, answered_s
        ):
            yield (
                f"ACK version {change.document.version} was answered"
                f" {answered_s - change.sent_s:.1f} s after it was sent"
            )
