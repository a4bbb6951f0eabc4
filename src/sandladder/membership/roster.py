"""The roster: which controllers take part, agreed by one record, and who places which team.

Everything that moves a team is one conditional transaction on the roster and on that team's record,
written by whoever has the evidence.  So of two controllers that see different things one is
refused, and all that read the records at the same revision know the same placers.  Nothing here
proves that a controller has ended: starts rest on the teams' records as before, and losses on the
proofs of docs/safety.md.

Each function takes the records as they stand and returns the change, or refuses; `write` binds a
change to what it was decided on.  Pure.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sandladder.model import IN, OUT, SUSPECT, Member, TeamAssignment
from sandladder.state import (
    ROSTER,
    TEAM,
    PreconditionFailedError,
    StateCache,
    Transaction,
    assignment_value,
)

# A flap is forgotten after so many times the settling time without another.
_FORGIVEN = 16
# How often the settling time is doubled at the most.
_MOST_DOUBLINGS = 5

Roster = Mapping[str, Member]


class RosterRecords(NamedTuple):
    """The roster, and the process that places each team."""

    roster: Roster
    assignments: Mapping[str, TeamAssignment]

    @staticmethod
    def of(cache: StateCache) -> "RosterRecords":
        """As a controller's copy holds them."""
        return RosterRecords(cache.roster, cache.assignments)


class RosterTransition(NamedTuple):
    """A change of these records."""

    roster: Roster | None = None  # None: as it stands, and the change rests on that
    assignments: Mapping[str, TeamAssignment] = {}

    def __bool__(self) -> bool:
        return self.roster is not None or bool(self.assignments)


_NOTHING = RosterTransition()


def settle_s(member: Member, least_s: float) -> float:
    """How long a member must have been well before it gets back what it had, in seconds."""
    return least_s * 2.0 ** min(member.flaps, _MOST_DOUBLINGS)


def homes(teams: Iterable[str], nodes: list[str]) -> dict[str, str]:
    """Where each team is placed while all are well: they are dealt out round all controllers."""
    return {team: nodes[index % len(nodes)] for index, team in enumerate(teams)}


def _lot(team: str, node: str) -> bytes:
    return hashlib.blake2b(f"{team} {node}".encode(), digest_size=8).digest()


def successor(team: str, roster: Roster, loads: Mapping[str, int], without: str = "") -> str | None:
    """Who takes a team when its placer cannot: whoever has least to place, else by lot.

    The same for all that read the same records; None when nobody is in.
    """
    able = [n for n, member in roster.items() if member.state == IN and n != without]
    return min(able, key=lambda n: (loads.get(n, 0), _lot(team, n)), default=None)


def placed(records: RosterRecords) -> Counter[str]:
    """How many teams each member places."""
    roster = records.roster
    return Counter(
        assignment.node
        for assignment in records.assignments.values()
        if assignment.node in roster and roster[assignment.node].state != OUT
    )


def rightful(team: str, home: str, records: RosterRecords) -> str | None:
    """The member whose team this is by the records, None when nobody is in.

    The one that the team's record names, in whichever process it lives now, unless it is out;
    at first the one that is its home.
    """
    assignment = records.assignments.get(team)
    node = home if assignment is None else assignment.node
    member = records.roster.get(node)
    if member is not None and member.state != OUT:
        return node
    return successor(team, records.roster, placed(records))


def enter(
    records: RosterRecords, node: str, term: int, wall: float, teams: Iterable[str]
) -> RosterTransition:
    """A controller takes part, again perhaps; what is its own goes to its new process with that."""
    known = records.roster.get(node)
    if known is not None and known.state == IN and known.term == term:
        return _NOTHING
    if known is not None and known.term > term:
        raise PreconditionFailedError("a later process runs under this name")
    flaps, refuted, since = 0, 0, wall
    if known is not None:
        flaps = known.flaps
        if known.term == term:
            refuted = known.refuted + 1
        if known.state != OUT:
            since = known.since  # it was never given up: nothing of it moved
    assignment = TeamAssignment(node, term)
    own = {team: assignment for team in teams if _names(records, team, node)}
    return RosterTransition(
        {**records.roster, node: Member(term, refuted, IN, since, flaps, "")}, own
    )


def _names(records: RosterRecords, team: str, node: str) -> bool:
    assignment = records.assignments.get(team)
    return assignment is not None and assignment.node == node


def _seen(records: RosterRecords, node: str, seen: Member) -> Member:
    """The member as the writer saw it when it decided; anything newer refutes that."""
    known = records.roster.get(node)
    if known is None or known[:3] != seen[:3]:
        raise PreconditionFailedError("it has shown itself since")
    return known


def accuse(records: RosterRecords, node: str, seen: Member, why: str) -> RosterTransition:
    """Put a member under suspicion: it has a moment to refute that, and nothing moves yet."""
    known = _seen(records, node, seen)
    if known.state != IN:
        return _NOTHING
    return RosterTransition({**records.roster, node: known._replace(state=SUSPECT, why=why)})


def refute(records: RosterRecords, node: str, term: int) -> RosterTransition:
    """A suspected member that lives says so, with a higher incarnation."""
    known = records.roster.get(node)
    if known is None or known.state != SUSPECT or known.term != term:
        return _NOTHING
    well = known._replace(state=IN, refuted=known.refuted + 1, why="")
    return RosterTransition({**records.roster, node: well})


def acquit(records: RosterRecords, node: str, seen: Member) -> RosterTransition:
    """Whoever hears a suspected member again takes the suspicion back."""
    known = _seen(records, node, seen)
    if known.state != SUSPECT:
        return _NOTHING
    return RosterTransition({**records.roster, node: known._replace(state=IN, why="")})


def expel(
    records: RosterRecords, node: str, seen: Member, why: str, wall: float, least_s: float
) -> RosterTransition:
    """Give a member up and hand its teams to their successors.

    Only one that is under suspicion still, or whose hold has ended: the caller saw to that, and
    a member that showed itself meanwhile refuses it here.
    """
    known = _seen(records, node, seen)
    if known.state == OUT:
        return _NOTHING
    calm = wall - known.since > _FORGIVEN * settle_s(known, least_s)
    flaps = 1 if calm else known.flaps + 1
    out = known._replace(state=OUT, since=wall, flaps=flaps, why=why)
    after = RosterRecords({**records.roster, node: out}, records.assignments)
    loads, moved = placed(after), {}
    for team in sorted(records.assignments):
        heir = successor(team, after.roster, loads) if _names(records, team, node) else None
        if heir is not None:
            loads[heir] += 1
            moved[team] = TeamAssignment(heir, after.roster[heir].term)
    return RosterTransition(after.roster, moved)


def leave(records: RosterRecords, node: str, term: int, wall: float) -> RosterTransition:
    """A controller that goes hands over what it has itself; that is no flap."""
    known = records.roster.get(node)
    if known is None or known.term != term or known.state == OUT:
        return _NOTHING
    move = expel(records, node, known, "it went", wall, 1.0)
    assert move.roster is not None
    gone = move.roster[node]._replace(flaps=known.flaps)
    return move._replace(roster={**move.roster, node: gone})


def take(
    records: RosterRecords, team: str, home: str, assignment: TeamAssignment
) -> RosterTransition:
    """A member takes a team that is its own by the records, and nobody else's."""
    if records.assignments.get(team) == assignment:
        return _NOTHING
    member = records.roster.get(assignment.node)
    if member is None or member.state != IN or member.term != assignment.term:
        raise PreconditionFailedError("not a member")
    if rightful(team, home, records) != assignment.node:
        raise PreconditionFailedError("another controller's team")
    return RosterTransition(assignments={team: assignment})


def give(records: RosterRecords, team: str, node: str, seen: TeamAssignment) -> RosterTransition:
    """Hand a team to another member that is well, as one that returns."""
    member = records.roster.get(node)
    if member is None or member.state != IN:
        raise PreconditionFailedError("it is not in")
    if records.assignments.get(team) != seen:
        raise PreconditionFailedError("the team has moved since")
    return RosterTransition(assignments={team: TeamAssignment(node, member.term)})


def write(transaction: Transaction, move: RosterTransition, most: int) -> bool:
    """Put a move into a transaction of at most so many changes; False if there is none.

    It rests on the roster and on the records of the teams that it moves.  Teams past `most` are
    taken by their successors afterwards, which follow from the roster alone.
    """
    if not move:
        return False
    cache = transaction.cache
    if ROSTER in transaction.others:
        # What was decided on the roster as it is does not hold on what it will be.
        raise PreconditionFailedError("another change of the roster goes along")
    transaction.expected_versions[ROSTER] = cache.version(ROSTER)
    if move.roster is not None:
        value = {node: list(member) for node, member in sorted(move.roster.items())}
        transaction.put(ROSTER, value, cache.version(ROSTER))
    for team, assignment in move.assignments.items():
        if transaction.size >= most:
            break
        transaction.put(TEAM + team, assignment_value(assignment), cache.version(TEAM + team))
    return True


def may_place(cache: StateCache, team: str, assignment: TeamAssignment | None) -> bool:
    """Whether starts of this team are surely this controller's to commit.

    Its record must name this very process, and our copy must hold all that was committed
    before it did: then what the live jobs hold is no less than what they hold in truth.
    """
    return (
        assignment is not None
        and cache.assignments.get(team) == assignment
        and cache.revision >= cache.version(TEAM + team) > 0
    )
