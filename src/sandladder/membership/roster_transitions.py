"""The changes that the roster may undergo.

Everything that moves a team is one conditional transaction on the roster and on that team's record,
written by whoever has the evidence.  So of two controllers that see different things one is
refused.

Each function takes the records as they are and returns the transition, empty if there is nothing to
change; `write` binds it to what it was decided on.  The vocabulary is SWIM's (Das, Gupta and
Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol",
2002, section 4.2): a member is suspected, and refutes that with a higher incarnation.  Pure.
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

# A flap is forgotten after so many settling times without another.
_FORGIVEN_SETTLING_TIMES = 16
# Why a controller that shut down in order is out, as the roster stores it.
_LEFT = "it went"


class RosterTransition(NamedTuple):
    """A change of the roster and of the teams' assignments."""

    roster: Roster | None = None  # None: it stays, and the change is bound to it
    assignments: Mapping[str, TeamAssignment] = {}

    def __bool__(self) -> bool:
        return self.roster is not None or bool(self.assignments)


_NOTHING = RosterTransition()


def join(
    records: RosterRecords, node: str, incarnation: int, wall: float, teams: Iterable[str]
) -> RosterTransition:
    """A controller becomes a member, perhaps again, and its teams go to its new process.

    Args:
        records: as they are.
        node: the controller.
        incarnation: the fencing token with which its process joins.
        wall: the time of day, in seconds.
        teams: all teams; those that are assigned to the controller go along.

    Raises:
        PreconditionFailedError: a later process of this controller is a member.
    """
    known = records.roster.get(node)
    if known is not None and known.state == IN and known.incarnation == incarnation:
        return _NOTHING
    if known is not None and known.incarnation > incarnation:
        raise PreconditionFailedError("a later process runs under this name")
    flaps, refuted, since = 0, 0, wall
    if known is not None:
        flaps = known.flaps
        if known.incarnation == incarnation:
            refuted = known.refutations + 1
        if known.state != OUT:
            since = known.since  # it was never evicted: nothing of it moved
    assignment = TeamAssignment(node, incarnation)
    own = {team: assignment for team in teams if records.is_assigned(team, node)}
    member = Member(incarnation, refuted, IN, since, flaps, "")
    return RosterTransition({**records.roster, node: member}, own)


def suspect(records: RosterRecords, node: str, observed: Member, why: str) -> RosterTransition:
    """Put a member under suspicion: it has a moment to refute that, and nothing moves yet.

    Args:
        records: as they are.
        node: the suspected member.
        observed: the member as it was when the suspicion arose.
        why: the evidence, which the roster stores.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    known = _unchanged(records, node, observed)
    if known.state != IN:
        return _NOTHING
    return RosterTransition({**records.roster, node: known._replace(state=SUSPECT, why=why)})


def refute(records: RosterRecords, node: str, incarnation: int) -> RosterTransition:
    """A suspected member that lives refutes that; its number of refutations goes up."""
    known = records.roster.get(node)
    if known is None or known.state != SUSPECT or known.incarnation != incarnation:
        return _NOTHING
    cleared = known._replace(state=IN, refutations=known.refutations + 1, why="")
    return RosterTransition({**records.roster, node: cleared})


def clear(records: RosterRecords, node: str, observed: Member) -> RosterTransition:
    """Take a suspicion back: the member's heartbeats arrive again.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    known = _unchanged(records, node, observed)
    if known.state != SUSPECT:
        return _NOTHING
    return RosterTransition({**records.roster, node: known._replace(state=IN, why="")})


def evict(
    records: RosterRecords, node: str, observed: Member, why: str, wall: float, least_s: float
) -> RosterTransition:
    """Evict a member and assign its teams to their successors.

    Only one that is still under suspicion, or whose lease has ended: the caller saw to that, and
    a member that changed meanwhile refuses it here.

    Args:
        records: as they are.
        node: the member to evict.
        observed: the member as it was when this was decided.
        why: the evidence, which the roster stores.
        wall: the time of day, in seconds.
        least_s: the settling time after a first eviction, in seconds.

    Raises:
        PreconditionFailedError: the member has changed since it was observed.
    """
    known = _unchanged(records, node, observed)
    if known.state == OUT:
        return _NOTHING
    forgiven_s = _FORGIVEN_SETTLING_TIMES * settling_time_s(known, least_s)
    flaps = 1 if wall - known.since > forgiven_s else known.flaps + 1
    out = known._replace(state=OUT, since=wall, flaps=flaps, why=why)
    after = RosterRecords({**records.roster, node: out}, records.assignments)
    return RosterTransition(after.roster, _reassigned(records, after, node))


def _reassigned(
    before: RosterRecords, after: RosterRecords, node: str
) -> dict[str, TeamAssignment]:
    """The new assignments of a member's teams once it is out."""
    counts = team_counts(after)
    moved: dict[str, TeamAssignment] = {}
    for team in sorted(before.assignments):
        if not before.is_assigned(team, node):
            continue
        new_assignee = successor(team, after.roster, counts)
        if new_assignee is not None:
            counts[new_assignee] += 1
            moved[team] = TeamAssignment(new_assignee, after.roster[new_assignee].incarnation)
    return moved


def leave(records: RosterRecords, node: str, incarnation: int, wall: float) -> RosterTransition:
    """A controller that shuts down hands its teams over itself; that counts as no flap."""
    known = records.roster.get(node)
    if known is None or known.incarnation != incarnation or known.state == OUT:
        return _NOTHING
    transition = evict(records, node, known, _LEFT, wall, 1.0)
    assert transition.roster is not None
    out = transition.roster[node]._replace(flaps=known.flaps)
    return transition._replace(roster={**transition.roster, node: out})


def claim(
    records: RosterRecords, team: str, home: str, assignment: TeamAssignment
) -> RosterTransition:
    """A member claims a team that is its own by the records, and nobody else's.

    Raises:
        PreconditionFailedError: the process is no member, or the team is another's.
    """
    if records.assignments.get(team) == assignment:
        return _NOTHING
    member = records.roster.get(assignment.node)
    if member is None or member.state != IN or member.incarnation != assignment.incarnation:
        raise PreconditionFailedError("not a member")
    if rightful_assignee(team, home, records) != assignment.node:
        raise PreconditionFailedError("another controller's team")
    return RosterTransition(assignments={team: assignment})


def reassign(
    records: RosterRecords, team: str, node: str, observed: TeamAssignment
) -> RosterTransition:
    """Hand a team to another member that is in, as one that has come back.

    Raises:
        PreconditionFailedError: the member is not in, or the team has moved since it was observed.
    """
    member = records.roster.get(node)
    if member is None or member.state != IN:
        raise PreconditionFailedError("it is not in")
    if records.assignments.get(team) != observed:
        raise PreconditionFailedError("the team has moved since")
    return RosterTransition(assignments={team: TeamAssignment(node, member.incarnation)})


def write(transaction: Transaction, transition: RosterTransition, max_operations: int) -> bool:
    """Put a transition into a transaction; False if there is nothing to change.

    It is bound to the roster and to the records of the teams that it moves.  Teams that would take
    the transaction past `max_operations` are claimed by their successors afterwards, which follow
    from the roster alone.

    Raises:
        PreconditionFailedError: the transaction changes the roster already.
    """
    if not transition:
        return False
    cache = transaction.cache
    if ROSTER_KEY in transaction.other_records:
        # What was decided on the roster as it is does not hold for what it will be.
        raise PreconditionFailedError("another change of the roster goes along")
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


def _unchanged(records: RosterRecords, node: str, observed: Member) -> Member:
    """The member, if nothing newer refutes what was observed of it."""
    known = records.roster.get(node)
    if known is None or known[:3] != observed[:3]:
        raise PreconditionFailedError("the member has changed since it was observed")
    return known
