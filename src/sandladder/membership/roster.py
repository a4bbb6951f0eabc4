"""The roster: which controllers are members, agreed in one record, and which schedules which team.

All that read the records at the same revision know the same members and the same assignees.
Nothing here proves that a controller has ended: starts rest on the teams' records, and losses on
the proofs of docs/safety.md.  Pure.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sandladder.membership.rendezvous import rendezvous_weight
from sandladder.model import IN, OUT, Member, TeamAssignment
from sandladder.state import TEAM_PREFIX, StateCache

# How often the settling time is doubled at the most.
_MAX_DOUBLINGS = 5

Roster = Mapping[str, Member]


class RosterRecords(NamedTuple):
    """The roster, and the process to which each team is assigned."""

    roster: Roster
    assignments: Mapping[str, TeamAssignment]

    @staticmethod
    def of(cache: StateCache) -> "RosterRecords":
        """The records as a controller's cache holds them."""
        return RosterRecords(cache.roster, cache.assignments)

    def is_assigned(self, team: str, node: str) -> bool:
        """Whether the team's record names this controller, in whichever process."""
        assignment = self.assignments.get(team)
        return assignment is not None and assignment.node == node


def settling_time_s(member: Member, least_s: float) -> float:
    """How long a member must have been healthy before it gets its teams back, in seconds.

    `least_s` after the first eviction; each further one soon after the member came back doubles it.
    """
    return least_s * 2.0 ** min(member.flaps, _MAX_DOUBLINGS)


def home_controllers(teams: Iterable[str], nodes: list[str]) -> dict[str, str]:
    """Where each team is scheduled while all controllers are healthy, dealt out in turn."""
    return {team: nodes[index % len(nodes)] for index, team in enumerate(teams)}


def team_counts(records: RosterRecords) -> Counter[str]:
    """How many teams are assigned to each member that is not out."""
    roster = records.roster
    return Counter(
        assignment.node
        for assignment in records.assignments.values()
        if assignment.node in roster and roster[assignment.node].state != OUT
    )


def successor(team: str, roster: Roster, counts: Mapping[str, int]) -> str | None:
    """The member that takes a team over: the one with the fewest teams, then by rendezvous hash.

    The same for all that read the same records; None when nobody is in.
    """
    candidates = [node for node, member in roster.items() if member.state == IN]
    return min(
        candidates,
        key=lambda node: (counts.get(node, 0), rendezvous_weight(team, node)),
        default=None,
    )


def rightful_assignee(team: str, home: str, records: RosterRecords) -> str | None:
    """The member to which a team belongs by the records, None when nobody is in.

    The one that the team's record names, whichever its process is now, unless it is out; at first
    the team's home.
    """
    assignment = records.assignments.get(team)
    node = home if assignment is None else assignment.node
    member = records.roster.get(node)
    if member is not None and member.state != OUT:
        return node
    return successor(team, records.roster, team_counts(records))


def may_schedule(cache: StateCache, team: str, assignment: TeamAssignment | None) -> bool:
    """Whether starts of this team are surely this process's to commit.

    Its record must name this very process, and the cache must hold all that was committed before
    it did: then the usage counted from the live jobs is no less than the true one.

    Args:
        cache: the records as this process knows them.
        team: the team's name.
        assignment: what the record must name; None: this process has not joined.
    """
    return (
        assignment is not None
        and cache.assignments.get(team) == assignment
        and cache.revision >= cache.version(TEAM_PREFIX + team) > 0
    )
