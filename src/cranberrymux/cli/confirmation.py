"""Determines where a configuration version is in force."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cranberrymux import sessions


class Confirmation(NamedTuple):
    """Where a configuration version is in force, and where not yet.

    Attributes:
        confirmed_nodes: Names of the nodes that have the version or a later
            one in force, sorted.
        lagging_nodes: Names of the nodes with a lease that have an earlier
            version in force, sorted.
        lagging_controls: Ids of the control instances that have applied only
            an earlier version.
        addresses_without_status: Addresses of the control instances that
            returned no status.
    """

    confirmed_nodes: tuple[str, ...]
    lagging_nodes: tuple[str, ...]
    lagging_controls: tuple[str, ...]
    addresses_without_status: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """True if all control instances answered and nothing lags behind."""
        return not (
            self.lagging_nodes
            or self.lagging_controls
            or self.addresses_without_status
        )

    def describe(self) -> str:
        """Returns a one-line summary for people."""
        parts = [f"in force on {len(self.confirmed_nodes)} nodes"]
        if self.lagging_nodes:
            parts.append("not on nodes " + ", ".join(self.lagging_nodes))
        if self.lagging_controls:
            parts.append(
                "not on control instances " + ", ".join(self.lagging_controls)
            )
        if self.addresses_without_status:
            parts.append(
                "no answer from " + ", ".join(self.addresses_without_status)
            )
        return "; ".join(parts)


def compute(
    answers: Sequence[sessions.InstanceStatus], version: int
) -> Confirmation:
    """Merges the statuses of all control instances for one version.

    Args:
        answers: The answer of each control instance.
        version: Configuration version to look for.
    """
    statuses = [
        answer.status for answer in answers if answer.status is not None
    ]
    versions = find_node_versions(statuses)
    return Confirmation(
        tuple(
            sorted(name for name, seen in versions.items() if seen >= version)
        ),
        tuple(
            sorted(name for name, seen in versions.items() if seen < version)
        ),
        tuple(
            status["control_id"]
            for status in statuses
            if status["configuration_version"] < version
        ),
        tuple(answer.address for answer in answers if answer.status is None),
    )


def find_node_versions(
    statuses: Sequence[Mapping[str, Any]],
) -> dict[str, int]:
    """Returns the configuration version in force on each node, by node id.

    Control instances may have heard from a node at different times. Its
    highest incarnation counts, and within that its highest version.

    Args:
        statuses: Statuses of the control instances that answered.
    """
    newest: dict[str, tuple[int, int]] = {}
    for status in statuses:
        for node in status["nodes"]:
            reported = (node["incarnation"], node["configuration_version"])
            known = newest.get(node["node_id"], (0, 0))
            newest[node["node_id"]] = max(known, reported)
    return {name: version for name, (_, version) in newest.items()}
