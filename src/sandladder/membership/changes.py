"""What the membership policy may decide, and the transition of the roster that each decision is."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from sandladder.membership import roster_transitions as transitions
from sandladder.membership.roster import RosterRecords
from sandladder.membership.roster_transitions import RosterTransition
from sandladder.model import Member, TeamAssignment


class ChangeKind(enum.Enum):
    """What is to be changed in the roster or in a team's record."""

    JOIN = "join"  # this process becomes a member
    LEAVE = "leave"  # this process shuts down
    REFUTE = "refute"  # this process is suspected, and lives
    SUSPECT = "suspect"  # another member
    CLEAR = "clear"  # another member of the suspicion
    EVICT = "evict"  # another member
    CLAIM = "claim"  # a team that is this controller's by the records
    RETURN = "return"  # a team to its home


class MembershipChange(NamedTuple):
    """Something to commit: what, about whom, and what that was decided on."""

    kind: ChangeKind
    subject: str = ""  # the member or the team; "": this process
    observed: Member | TeamAssignment | None = None
    evidence: str = ""
    assignee: str = ""  # RETURN: the member that gets the team


class ChangeContext(NamedTuple):
    """Who makes a change, and when."""

    own: TeamAssignment  # this process
    homes: Mapping[str, str]  # by team, the controller that schedules it while all are healthy
    wall: float  # the time of day, in seconds
    settling_time_s: float  # after a first eviction


def transition_of(
    change: MembershipChange, records: RosterRecords, context: ChangeContext
) -> RosterTransition:
    """The transition that a change is of these records.

    Raises:
        PreconditionFailedError: what the change was decided on is no longer so.
    """
    node, incarnation = context.own.node, context.own.incarnation
    subject = change.subject
    match change.kind:
        case ChangeKind.JOIN:
            return transitions.join(records, node, incarnation, context.wall, context.homes)
        case ChangeKind.LEAVE:
            return transitions.leave(records, node, incarnation, context.wall)
        case ChangeKind.REFUTE:
            return transitions.refute(records, node, incarnation)
        case ChangeKind.CLAIM:
            home = context.homes.get(subject, node)
            return transitions.claim(records, subject, home, context.own)
        case ChangeKind.RETURN:
            assert isinstance(change.observed, TeamAssignment)
            return transitions.reassign(records, subject, change.assignee, change.observed)
        case ChangeKind.SUSPECT | ChangeKind.CLEAR | ChangeKind.EVICT:
            assert isinstance(change.observed, Member)
            return _transition_of_member(change, change.observed, records, context)


def _transition_of_member(
    change: MembershipChange, observed: Member, records: RosterRecords, context: ChangeContext
) -> RosterTransition:
    """The transition that a change of another member is."""
    subject, evidence = change.subject, change.evidence
    if change.kind is ChangeKind.SUSPECT:
        return transitions.suspect(records, subject, observed, evidence)
    if change.kind is ChangeKind.CLEAR:
        return transitions.clear(records, subject, observed)
    least_s = context.settling_time_s
    return transitions.evict(records, subject, observed, evidence, context.wall, least_s)
