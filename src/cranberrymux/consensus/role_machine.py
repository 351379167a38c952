"""State machine of a replica's role."""

from typing import Protocol

import automat

from cranberrymux.consensus import role as role_module


class RoleState:
    """Role of the machine's present state."""

    def __init__(self) -> None:
        """Starts as a learner."""
        self.role = role_module.Role.LEARNER


class RoleMachine(Protocol):
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


_builder = automat.TypeMachineBuilder(RoleMachine, RoleState)
_learner = _builder.state("learner")
_follower = _builder.state("follower")
_pre_candidate = _builder.state("pre_candidate")
_candidate = _builder.state("candidate")
_leader = _builder.state("leader")


@_learner.upon(RoleMachine.follow).loop()
def _stay_learner(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.LEARNER


@_learner.upon(RoleMachine.promote).to(_follower)
@_follower.upon(RoleMachine.follow).to(_follower)
@_pre_candidate.upon(RoleMachine.follow).to(_follower)
@_candidate.upon(RoleMachine.follow).to(_follower)
@_leader.upon(RoleMachine.follow).to(_follower)
def _become_follower(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.FOLLOWER


@_follower.upon(RoleMachine.demote).to(_learner)
@_pre_candidate.upon(RoleMachine.demote).to(_learner)
@_candidate.upon(RoleMachine.demote).to(_learner)
@_leader.upon(RoleMachine.demote).to(_learner)
def _become_learner(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.LEARNER


@_follower.upon(RoleMachine.time_out).to(_pre_candidate)
@_pre_candidate.upon(RoleMachine.time_out).to(_pre_candidate)
@_candidate.upon(RoleMachine.time_out).to(_pre_candidate)
def _become_pre_candidate(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.PRE_CANDIDATE


@_pre_candidate.upon(RoleMachine.win_pre_vote).to(_candidate)
def _become_candidate(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.CANDIDATE


@_candidate.upon(RoleMachine.win_vote).to(_leader)
def _become_leader(_: RoleMachine, role_state: RoleState) -> None:
    role_state.role = role_module.Role.LEADER


build = _builder.build()
