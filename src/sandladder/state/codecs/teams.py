"""The records of teams: what a team uses (schema version 1), or who schedules it (version 2)."""

from typing import Any

from sandladder.model import TeamAssignment, TeamUsage


def assignment_value(assignment: TeamAssignment) -> dict[str, Any]:
    """A team's record in schema version 2; what the team uses follows from its jobs' records."""
    return {"p": assignment.node, "n": assignment.incarnation}


def usage_value(usage: TeamUsage) -> list[float]:
    """A team's record in schema version 1."""
    return list(usage)


def read_team(value: Any) -> TeamUsage | TeamAssignment:
    """Read a team's record of either version."""
    if isinstance(value, dict):
        return TeamAssignment(str(value["p"]), int(value["n"]))
    return TeamUsage(*(float(amount) for amount in value))
