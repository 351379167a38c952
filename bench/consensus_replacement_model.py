"""Plays the orders of events around the replacement of a control instance."""

from collections.abc import Callable
from collections.abc import Iterable

from bench import consensus_checker
from bench import consensus_node
from bench import consensus_replacement_case
from bench import consensus_replacement_cluster
from bench import consensus_simulated_cluster
from bench import consensus_simulated_disk
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import replica as replica_module

RECOVERY_S = 6.0
_FORMED_BY_S = 10.0
_STEP_S = 0.02
_NEW_NAME = "z"
_PROPOSAL_S = 0.03
_RESTART_S = 0.1
_SLOW_RATE = 0.2
_LATE_S = 0.3

_Case = consensus_replacement_case.Case
_Event = consensus_replacement_case.Event
_Victim = consensus_replacement_case.Victim


class Model:
    """Plays one case and checks what its cluster may and must do."""

    def __init__(
        self,
        case: _Case,
        seed: int,
        cluster_class: type[
            consensus_replacement_cluster.ReplacementCluster
        ] = consensus_replacement_cluster.ReplacementCluster,
    ) -> None:
        """Creates the cluster; its instances start at random times.

        Args:
            case: The order of events.
            seed: Seed of the cluster.
            cluster_class: Class of the cluster.
        """
        self._case = case
        self.cluster = cluster_class(
            seed,
            case.voters,
            replica_module.Replica,
            consensus_simulated_cluster.SETTINGS,
            consensus_simulated_disk.SimulatedDisk,
        )
        # An instance stays lost for good only by the events of the case.
        self.cluster.loss_rate = self.cluster.duplicate_rate = 0.0
        self.cluster.slow_rate = 0.0
        self._first = list(self.cluster.nodes)
        self._old = self._first[0]
        self._lost = self._first[0]

    def run(self) -> str:
        """Returns the guarantee that was broken; empty if none was."""
        try:
            self._run()
        except consensus_checker.ViolationError as error:
            return str(error)
        except invariant_error.InvariantError as error:
            return f"invariant: {error}"
        return ""

    def _run(self) -> None:
        self._wait(self._are_all_voters, _FORMED_BY_S, "the cluster forms")
        self._propose_all_the_time()
        self.cluster.run_for(0.2)
        self._choose()
        actions: dict[_Event, Callable[[], None]] = {
            _Event.START_NEW: lambda: self.cluster.add(_NEW_NAME),
            _Event.END_OLD: self._end_old,
            _Event.LOSE_DISK: self._lose_disk,
            _Event.START_LOST: lambda: self.cluster.start(self._lost),
        }
        for event, gap_s in zip(
            self._case.order, (*self._case.gaps_s, 0.0), strict=True
        ):
            self._set_late_messages(True)
            self.cluster.run_for(_STEP_S)
            actions[event]()
            self._run_gap(gap_s)
        self._set_late_messages(False)
        if self._case.must_recover:
            self._check_recovery()
        else:
            self.cluster.run_for(RECOVERY_S / 2)

    def _run_gap(self, gap_s: float) -> None:
        """Runs on; a long gap begins when no message comes late any more."""
        if gap_s >= consensus_replacement_case.CATCH_UP_S:
            self.cluster.run_for(_LATE_S)
            self._set_late_messages(False)
        self.cluster.run_for(gap_s)

    def _set_late_messages(self, are_late: bool) -> None:
        is_slow = are_late and self._case.late_messages
        self.cluster.slow_rate = _SLOW_RATE if is_slow else 0.0

    def _choose(self) -> None:
        """Draws the instances of the case by the leader at this time."""
        leader = self._leader()
        if leader is None:
            raise consensus_checker.ViolationError("no leader before any event")
        followers = [node for node in self._first if node is not leader]
        is_old_leader = self._case.old is _Victim.LEADER
        self._old = leader if is_old_leader else followers[0]

    def _leader(self) -> consensus_node.Node | None:
        for node in self.cluster.leaders():
            assert node.replica is not None
            now_s = node.local_time_s(self.cluster.now_s)
            if node.replica.has_valid_lease(now_s):
                return node
        return None

    def _end_old(self) -> None:
        if self._case.ending is consensus_replacement_case.Ending.KILL:
            self.cluster.end(self._old)
            self._cut_power_of_others(self._old)
            return
        self.cluster.leave(self._old)
        while not self.cluster.has_ended(self._old):
            self.cluster.run_for(_STEP_S)

    def _lose_disk(self) -> None:
        self._lost = self._draw_lost()
        self.cluster.crash(self._lost)
        self._lost.lose_disk()
        self.cluster.event_counts["disks lost"] += 1
        self._cut_power_of_others(self._lost)

    def _cut_power_of_others(self, lost: consensus_node.Node) -> None:
        if not self._case.cuts_power:
            return
        for node in self._present():
            if node is not lost and node.replica is not None:
                self.cluster.crash(node)
                self.cluster.after(_RESTART_S, self.cluster.start, node)

    def _draw_lost(self) -> consensus_node.Node:
        candidates = [x for x in self._first if x is not self._old]
        if self._case.lost is _Victim.NEW:
            return self.cluster.nodes[-1]
        leader = self._leader()
        if self._case.lost is _Victim.LEADER and leader in candidates:
            return leader
        return next(x for x in candidates if x is not leader)

    def _present(self) -> list[consensus_node.Node]:
        return [x for x in self.cluster.nodes if not self.cluster.has_ended(x)]

    def _propose_all_the_time(self) -> None:
        self.cluster.after(_PROPOSAL_S, self._propose_all_the_time)
        for node in self.cluster.leaders():
            self.cluster.propose(node)

    def _are_all_voters(self) -> bool:
        leader = self._leader()
        if leader is None:
            return False
        present_ids = {node.disk.replica_id for node in self._present()}
        return self.cluster.voters_of(leader) == present_ids

    def _check_recovery(self) -> None:
        cluster = self.cluster
        self._wait(self._are_all_voters, RECOVERY_S, "all are voters again")
        committed = cluster.checker.last_committed_index
        self._wait(
            lambda: cluster.checker.last_committed_index > committed,
            RECOVERY_S,
            "a change is accepted again",
        )
        self._wait(
            lambda: all(
                node.applied_index > committed for node in self._present()
            ),
            RECOVERY_S,
            "all have applied what was accepted",
        )

    def _wait(
        self, is_reached: Callable[[], bool], limit_s: float, what: str
    ) -> None:
        ends_at_s = self.cluster.now_s + limit_s
        while not is_reached():
            if self.cluster.now_s >= ends_at_s:
                raise consensus_checker.ViolationError(
                    f"not within {limit_s} s: {what}"
                )
            self.cluster.run_for(_STEP_S)


def play(
    cases: Iterable[_Case],
    seed: int,
    cluster_class: type[
        consensus_replacement_cluster.ReplacementCluster
    ] = consensus_replacement_cluster.ReplacementCluster,
) -> list[tuple[_Case, str]]:
    """Plays cases and returns those that broke a guarantee, and which."""
    return [
        (case, violation)
        for case in cases
        if (violation := Model(case, seed, cluster_class).run())
    ]
