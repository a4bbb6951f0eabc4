"""The roster: a record of the member controllers, and the assignment of teams to them.

All controllers that read the records at the same revision see the same members and assignees.  The
roster does not prove that a controller has stopped: a start is conditional on the team's record,
and a loss is declared only on a proof of docs/safety.md.  Pure.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sandladder.membership.rendezvous import rendezvous_weight
from sandladder.model import IN, OUT, Member, TeamAssignment
from sandladder.state import TEAM_PREFIX, StateCache

# Upper bound on the number of times that the settling time is doubled.
_MAX_DOUBLINGS = 5

Roster = Mapping[str, Member]


class RosterRecords(NamedTuple):
    """The roster, and the controller process to which each team is assigned."""

    roster: Roster
    assignments: Mapping[str, TeamAssignment]

    @staticmethod
    def from_cache(cache: StateCache) -> "RosterRecords":
        """Return the records in a controller's cache."""
        return RosterRecords(cache.roster, cache.assignments)

    def is_assigned(self, team: str, node: str) -> bool:
        """Return whether the team's record names this controller, regardless of the process."""
        assignment = self.assignments.get(team)
        return assignment is not None and assignment.node == node


def settling_time_s(member: Member, base_settling_time_s: float) -> float:
    """Return the time in state IN before a member's teams return to it, in seconds.

    `base_settling_time_s` applies after the first eviction.  Each further eviction soon after the
    member came back doubles it, so that a flapping controller does not move its teams repeatedly.
    """
    return base_settling_time_s * 2.0 ** min(member.flaps, _MAX_DOUBLINGS)


def home_controllers(teams: Iterable[str], nodes: list[str]) -> dict[str, str]:
    """Return each team's home controller, assigned round-robin.

    The home schedules the team while all controllers are healthy.
    """
    return {team: nodes[index % len(nodes)] for index, team in enumerate(teams)}


def team_counts(records: RosterRecords) -> Counter[str]:
    """Return the number of teams assigned to each member that is not in state OUT."""
    roster = records.roster
    return Counter(
        assignment.node
        for assignment in records.assignments.values()
        if assignment.node in roster and roster[assignment.node].state != OUT
    )


def successor(team: str, roster: Roster, counts: Mapping[str, int]) -> str | None:
    """Return the member to which a team fails over, or None if no member is in state IN.

    It is the member with the fewest teams; ties are broken by rendezvous hashing.  The result is
    the same for all controllers that read the same records.
    """
    candidates = [node for node, member in roster.items() if member.state == IN]
    return min(
        candidates,
        key=lambda node: (counts.get(node, 0), rendezvous_weight(team, node)),
        default=None,
    )


def rightful_assignee(team: str, home: str, records: RosterRecords) -> str | None:
    """Return the member responsible for a team, or None if there is none.

    It is the controller named in the team's record, or the team's home if there is no record; if
    that controller is in state OUT or not in the roster, its successor, if any.
    """
    assignment = records.assignments.get(team)
    node = home if assignment is None else assignment.node
    member = records.roster.get(node)
    if member is not None and member.state != OUT:
        return node
    return successor(team, records.roster, team_counts(records))


def may_schedule(cache: StateCache, team: str, assignment: TeamAssignment | None) -> bool:
    """Return whether this process may commit starts of a team.

    The team's record must name this process, and the cache must include everything committed
    before that.  Otherwise the usage counted from the live jobs could be too low, and a limit
    could be exceeded.

    Args:
        cache: this process's cache of the records.
        team: the team's name.
        assignment: this process, as the record must name it; None if it has not joined.
    """
    return (
        assignment is not None
        and cache.assignments.get(team) == assignment
        and cache.revision >= cache.version(TEAM_PREFIX + team) > 0
    )
