"""The records of teams: usage in schema version 1, assignment to a controller in version 2."""

from typing import Any

from sandladder.model import TeamAssignment, TeamUsage


def assignment_value(assignment: TeamAssignment) -> dict[str, Any]:
    """Encode a team's record in schema version 2; usage is derived from the team's jobs."""
    return {"p": assignment.node, "n": assignment.incarnation}


def usage_value(usage: TeamUsage) -> list[float]:
    """Encode a team's record in schema version 1."""
    return list(usage)


def read_team(value: Any) -> TeamUsage | TeamAssignment:
    """Decode a team's record of either schema version."""
    if isinstance(value, dict):
        return TeamAssignment(str(value["p"]), int(value["n"]))
    return TeamUsage(*(float(amount) for amount in value))
