"""The changes that the membership policy can decide on, and the roster transition of each."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from sandladder.membership import roster_transitions as transitions
from sandladder.membership.roster import RosterRecords
from sandladder.membership.roster_transitions import RosterTransition
from sandladder.model import Member, TeamAssignment


class ChangeKind(enum.Enum):
    """The kind of a change to the roster or to a team's record."""

    JOIN = "join"  # this process becomes a member
    LEAVE = "leave"  # this process shuts down
    REFUTE = "refute"  # this process is suspected but alive
    SUSPECT = "suspect"  # another member becomes suspected
    CLEAR = "clear"  # the suspicion of another member is withdrawn
    EVICT = "evict"  # another member is evicted
    CLAIM = "claim"  # this process claims a team of its controller, or one that fails over to it
    RETURN = "return"  # a team is reassigned to its home controller


class MembershipChange(NamedTuple):
    """A change to commit, with the observation that it was decided on."""

    kind: ChangeKind
    subject: str = ""  # the member or the team; "": this process
    observed: Member | TeamAssignment | None = None  # the subject's record at the decision
    evidence: str = ""
    assignee: str = ""  # RETURN: the member to which the team is assigned


class ChangeContext(NamedTuple):
    """The process that makes a change, the time, and the relevant settings."""

    own: TeamAssignment  # this controller and the incarnation of this process
    homes: Mapping[str, str]  # by team, the controller that schedules it while all are healthy
    wall_clock_s: float
    settling_time_s: float  # the settling time after a first eviction


def build_transition(
    change: MembershipChange, records: RosterRecords, context: ChangeContext
) -> RosterTransition:
    """Return the roster transition that carries out a change on the given records.

    Raises:
        PreconditionFailedError: the observation behind the change is out of date.
    """
    node, incarnation = context.own.node, context.own.incarnation
    subject = change.subject
    match change.kind:
        case ChangeKind.JOIN:
            return transitions.join(records, node, incarnation, context.wall_clock_s, context.homes)
        case ChangeKind.LEAVE:
            return transitions.leave(records, node, incarnation, context.wall_clock_s)
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
            return _build_member_transition(change, change.observed, records, context)


def _build_member_transition(
    change: MembershipChange, observed: Member, records: RosterRecords, context: ChangeContext
) -> RosterTransition:
    """Return the roster transition for a change of another member's state."""
    subject, evidence = change.subject, change.evidence
    if change.kind is ChangeKind.SUSPECT:
        return transitions.suspect(records, subject, observed, evidence)
    if change.kind is ChangeKind.CLEAR:
        return transitions.clear(records, subject, observed)
    base_settling_time_s = context.settling_time_s
    return transitions.evict(
        records, subject, observed, evidence, context.wall_clock_s, base_settling_time_s
    )
