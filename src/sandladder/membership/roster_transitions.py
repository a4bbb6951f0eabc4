"""The transitions of the roster.

Each change that moves a team is one compare-and-swap on the roster and on the team's record, so
that a change decided on outdated records is refused.

Each function takes the current records and returns the transition, which is empty if nothing
changes; `write` makes it conditional on these records.  The terms are those of SWIM (Das, Gupta
and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol",
2002, section 4.2): a member is suspected, and refutes the suspicion with a higher incarnation.
Pure.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sandladder.membership.roster import (
    Roster,
    RosterRecords,
    rightful_assignee,
    settling_time_s,
    successor,
    team_counts,
)
from sandladder.model import IN, OUT, SUSPECT, Member, TeamAssignment
from sandladder.state import (
    ROSTER_KEY,
    TEAM_PREFIX,
    PreconditionFailedError,
    Transaction,
    assignment_value,
)

# Settling times without an eviction after which the count of flaps is reset.
_FLAP_RESET_SETTLING_TIMES = 16
# Evidence for the eviction of a controller that shut down gracefully; stored in the roster.
_LEAVE_EVIDENCE = "it went"


class RosterTransition(NamedTuple):
    """A change of the roster and of the teams' assignments."""

    roster: Roster | None = None  # None: unchanged, but the change is conditional on its version
    assignments: Mapping[str, TeamAssignment] = {}

    def __bool__(self) -> bool:
        return self.roster is not None or bool(self.assignments)


_NO_CHANGE = RosterTransition()


def join(
    records: RosterRecords, node: str, incarnation: int, wall_clock_s: float, teams: Iterable[str]
) -> RosterTransition:
    """Make a controller a member, and assign its teams to its current process.

    Args:
        records: the current records.
        node: the controller.
        incarnation: the fencing token with which its process joins.
        wall_clock_s: the time of day, in seconds.
        teams: all teams; those assigned to the controller move to its current process.

    Raises:
        PreconditionFailedError: a later process of this controller is a member.
    """
    current = records.roster.get(node)
    if current is not None and current.state == IN and current.incarnation == incarnation:
        return _NO_CHANGE
    if current is not None and current.incarnation > incarnation:
        raise PreconditionFailedError("a later process of this controller has joined")
    flaps, refutations, since = 0, 0, wall_clock_s
    if current is not None:
        flaps = current.flaps
        if current.incarnation == incarnation:
            refutations = current.refutations + 1
        if current.state != OUT:
            since = current.since  # it was not evicted, so none of its teams moved
    assignment = TeamAssignment(node, incarnation)
    own = {team: assignment for team in teams if records.is_assigned(team, node)}
    member = Member(incarnation, refutations, IN, since, flaps, "")
    return RosterTransition({**records.roster, node: member}, own)


def suspect(records: RosterRecords, node: str, observed: Member, evidence: str) -> RosterTransition:
    """Suspect a member; its teams stay assigned, and it can still refute the suspicion.

    Args:
        records: the current records.
        node: the suspected member.
        observed: the member's record at the decision.
        evidence: human-readable text that the roster stores.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    current = _require_unchanged(records, node, observed)
    if current.state != IN:
        return _NO_CHANGE
    return RosterTransition({**records.roster, node: current._replace(state=SUSPECT, why=evidence)})


def refute(records: RosterRecords, node: str, incarnation: int) -> RosterTransition:
    """Clear a member's suspicion on behalf of its own process, and count the refutation."""
    current = records.roster.get(node)
    if current is None or current.state != SUSPECT or current.incarnation != incarnation:
        return _NO_CHANGE
    cleared = current._replace(state=IN, refutations=current.refutations + 1, why="")
    return RosterTransition({**records.roster, node: cleared})


def clear(records: RosterRecords, node: str, observed: Member) -> RosterTransition:
    """Clear the suspicion of another member, whose heartbeats arrive again.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    current = _require_unchanged(records, node, observed)
    if current.state != SUSPECT:
        return _NO_CHANGE
    return RosterTransition({**records.roster, node: current._replace(state=IN, why="")})


def evict(
    records: RosterRecords,
    node: str,
    observed: Member,
    evidence: str,
    wall_clock_s: float,
    base_settling_time_s: float,
) -> RosterTransition:
    """Evict a member and assign its teams to their successors.

    The caller ensures that the member is suspected or leaving, or that its lease has expired.

    Args:
        records: the current records.
        node: the member to evict.
        observed: the member's record at the decision.
        evidence: human-readable text that the roster stores.
        wall_clock_s: the time of day, in seconds.
        base_settling_time_s: the settling time after a first eviction, in seconds.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    current = _require_unchanged(records, node, observed)
    if current.state == OUT:
        return _NO_CHANGE
    flap_reset_s = _FLAP_RESET_SETTLING_TIMES * settling_time_s(current, base_settling_time_s)
    flaps = 1 if wall_clock_s - current.since > flap_reset_s else current.flaps + 1
    out = current._replace(state=OUT, since=wall_clock_s, flaps=flaps, why=evidence)
    new_records = RosterRecords({**records.roster, node: out}, records.assignments)
    return RosterTransition(new_records.roster, _reassignments(records, new_records, node))


def _reassignments(
    old_records: RosterRecords, new_records: RosterRecords, node: str
) -> dict[str, TeamAssignment]:
    """Return the new assignments of a member's teams after its eviction."""
    counts = team_counts(new_records)
    moved: dict[str, TeamAssignment] = {}
    for team in sorted(old_records.assignments):
        if not old_records.is_assigned(team, node):
            continue
        new_assignee = successor(team, new_records.roster, counts)
        if new_assignee is not None:
            counts[new_assignee] += 1
            moved[team] = TeamAssignment(new_assignee, new_records.roster[new_assignee].incarnation)
    return moved


def leave(
    records: RosterRecords, node: str, incarnation: int, wall_clock_s: float
) -> RosterTransition:
    """Evict a controller that shuts down gracefully, without counting a flap."""
    current = records.roster.get(node)
    if current is None or current.incarnation != incarnation or current.state == OUT:
        return _NO_CHANGE
    transition = evict(records, node, current, _LEAVE_EVIDENCE, wall_clock_s, 1.0)
    assert transition.roster is not None
    out = transition.roster[node]._replace(flaps=current.flaps)
    return transition._replace(roster={**transition.roster, node: out})


def claim(
    records: RosterRecords, team: str, home: str, assignment: TeamAssignment
) -> RosterTransition:
    """Assign a team to the process of the member that is responsible for it.

    Raises:
        PreconditionFailedError: the process is not a member, or the team belongs to another one.
    """
    if records.assignments.get(team) == assignment:
        return _NO_CHANGE
    member = records.roster.get(assignment.node)
    if member is None or member.state != IN or member.incarnation != assignment.incarnation:
        raise PreconditionFailedError("this process is not a member")
    if rightful_assignee(team, home, records) != assignment.node:
        raise PreconditionFailedError("the team belongs to another controller")
    return RosterTransition(assignments={team: assignment})


def reassign(
    records: RosterRecords, team: str, node: str, observed: TeamAssignment
) -> RosterTransition:
    """Reassign a team to another member in state IN.

    Raises:
        PreconditionFailedError: the member is not in state IN, or the team has moved since it was
            observed.
    """
    member = records.roster.get(node)
    if member is None or member.state != IN:
        raise PreconditionFailedError("the new assignee is not an active member")
    if records.assignments.get(team) != observed:
        raise PreconditionFailedError("the team has moved since it was observed")
    return RosterTransition(assignments={team: TeamAssignment(node, member.incarnation)})


def write(transaction: Transaction, transition: RosterTransition, max_operations: int) -> bool:
    """Add a transition to a transaction; return False if there is nothing to change.

    The transaction is conditional on the versions of the roster and of the records of the teams
    that move.  Teams that would exceed `max_operations` are left out; their successors, which
    follow from the roster, claim them afterwards.

    Raises:
        PreconditionFailedError: the transaction already changes the roster.
    """
    if not transition:
        return False
    cache = transaction.cache
    if ROSTER_KEY in transaction.other_records:
        # The transition was decided on the current roster, which this transaction will replace.
        raise PreconditionFailedError("the transaction already changes the roster")
    transaction.expected_versions[ROSTER_KEY] = cache.version(ROSTER_KEY)
    if transition.roster is not None:
        value = {node: list(member) for node, member in sorted(transition.roster.items())}
        transaction.put(ROSTER_KEY, value, cache.version(ROSTER_KEY))
    for team, assignment in transition.assignments.items():
        if transaction.size >= max_operations:
            break
        transaction.put(
            TEAM_PREFIX + team, assignment_value(assignment), cache.version(TEAM_PREFIX + team)
        )
    return True


def _require_unchanged(records: RosterRecords, node: str, observed: Member) -> Member:
    """Return the member's current record if its state is still the observed one.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    current = records.roster.get(node)
    if current is None or current[:3] != observed[:3]:
        raise PreconditionFailedError("the member has changed since it was observed")
    return current
