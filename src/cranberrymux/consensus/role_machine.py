"""State machine of a replica's role."""

from typing import Protocol

import automat

from cranberrymux.consensus import role as role_module


class RoleHolder:
    """Role of the machine's present state."""

    def __init__(self) -> None:
        """Starts as a learner."""
        self.role = role_module.Role.LEARNER


class Lifecycle(Protocol):
    """Inputs of the state machine.

    An input that the present state does not allow raises an error.
    """

    def promote(self) -> None:
        """The replica became a voter in the membership that it holds."""

    def demote(self) -> None:
        """The replica is no longer a voter in the membership that it holds."""

    def time_out(self) -> None:
        """The election timeout passed without a message of a leader."""

    def win_pre_vote(self) -> None:
        """A quorum granted the pre-vote."""

    def win_vote(self) -> None:
        """A quorum granted the vote."""

    def follow(self) -> None:
        """Another leader or a higher term was seen, or leadership was lost."""


_builder = automat.TypeMachineBuilder(Lifecycle, RoleHolder)
_learner = _builder.state("learner")
_follower = _builder.state("follower")
_pre_candidate = _builder.state("pre_candidate")
_candidate = _builder.state("candidate")
_leader = _builder.state("leader")


@_learner.upon(Lifecycle.follow).loop()
def _stay_learner(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.LEARNER


@_learner.upon(Lifecycle.promote).to(_follower)
@_follower.upon(Lifecycle.follow).to(_follower)
@_pre_candidate.upon(Lifecycle.follow).to(_follower)
@_candidate.upon(Lifecycle.follow).to(_follower)
@_leader.upon(Lifecycle.follow).to(_follower)
def _become_follower(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.FOLLOWER


@_follower.upon(Lifecycle.demote).to(_learner)
@_pre_candidate.upon(Lifecycle.demote).to(_learner)
@_candidate.upon(Lifecycle.demote).to(_learner)
@_leader.upon(Lifecycle.demote).to(_learner)
def _become_learner(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.LEARNER


@_follower.upon(Lifecycle.time_out).to(_pre_candidate)
@_pre_candidate.upon(Lifecycle.time_out).to(_pre_candidate)
@_candidate.upon(Lifecycle.time_out).to(_pre_candidate)
def _become_pre_candidate(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.PRE_CANDIDATE


@_pre_candidate.upon(Lifecycle.win_pre_vote).to(_candidate)
def _become_candidate(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.CANDIDATE


@_candidate.upon(Lifecycle.win_vote).to(_leader)
def _become_leader(_: Lifecycle, holder: RoleHolder) -> None:
    holder.role = role_module.Role.LEADER


build = _builder.build()
