"""Who has a version in force, over all control instances."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
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
    found = [one.status for one in answers if one.status is not None]
    versions = find_versions(found)
    return Confirmation(
        tuple(sorted(n for n, seen in versions.items() if seen >= version)),
        tuple(sorted(n for n, seen in versions.items() if seen < version)),
        tuple(
            status["control_id"]
            for status in found
            if status["configuration_version"] < version
        ),
        tuple(one.address for one in answers if one.status is None),
    )


def find_versions(
    statuses: Sequence[Mapping[str, Any]],
) -> dict[str, int]:
    """Returns the version that each node has in force, by its newest news."""
    newest: dict[str, tuple[int, int]] = {}
    for status in statuses:
        for node in status["nodes"]:
            seen = (node["incarnation"], node["configuration_version"])
            known = newest.get(node["node_id"], (0, 0))
            newest[node["node_id"]] = max(known, seen)
    return {name: version for name, (_, version) in newest.items()}
