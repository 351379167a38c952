"""Who has a version in force, over all control instances."""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux import sessions


class Confirmation(NamedTuple):
    """How far a version has spread.

    Attributes:
        confirmed: Names of the nodes that have it in force.
        missing: Names of the nodes with a lease that have not.
        lagging_controls: Control instances that have not applied it.
        silent: Addresses of control instances that did not answer.
    """

    confirmed: tuple[str, ...]
    missing: tuple[str, ...]
    lagging_controls: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def is_whole(self) -> bool:
        """True if all who answer have it, and all control instances do."""
        return not (self.missing or self.lagging_controls or self.silent)

    def describe(self) -> str:
        """One line for people."""
        parts = [f"in force on {len(self.confirmed)} nodes"]
        if self.missing:
            parts.append("not on nodes " + ", ".join(self.missing))
        if self.lagging_controls:
            parts.append(
                "not on control instances " + ", ".join(self.lagging_controls)
            )
        if self.silent:
            parts.append("no answer from " + ", ".join(self.silent))
        return "; ".join(parts)


def compute(
    answers: Sequence[sessions.InstanceStatus], version: int
) -> Confirmation:
    """Joins what the control instances see of one version."""
    newest: dict[str, tuple[int, int]] = {}
    lagging = []
    silent = []
    for answer in answers:
        if answer.status is None:
            silent.append(answer.address)
            continue
        if answer.status["configuration_version"] < version:
            lagging.append(answer.status["control_id"])
        for node in answer.status["nodes"]:
            seen = (node["incarnation"], node["configuration_version"])
            known = newest.get(node["node_id"], (0, 0))
            newest[node["node_id"]] = max(known, seen)
    return Confirmation(
        tuple(sorted(n for n, seen in newest.items() if seen[1] >= version)),
        tuple(sorted(n for n, seen in newest.items() if seen[1] < version)),
        tuple(lagging),
        tuple(silent),
    )
