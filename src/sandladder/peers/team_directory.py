"""The controller that schedules each team: by the roster, or in schema version 1 by a ring."""

from collections.abc import Sequence

from sandladder.membership import MembershipService, may_schedule
from sandladder.model import SCHEMA_V1
from sandladder.state import StateCache


class TeamDirectory:
    """Looks up the controller that is responsible for a team."""

    def __init__(
        self,
        node: str,
        nodes: Sequence[str],
        teams: Sequence[str],
        cache: StateCache,
        membership: MembershipService,
    ) -> None:
        """Create the directory of one controller.

        Args:
            node: the controller of this process.
            nodes: all controllers of the settings, in order.
            teams: all teams of the settings, in order.
            cache: this process's cache of the records.
            membership: provides the members and their health.
        """
        self._node = node
        self._nodes = nodes
        self._teams = teams
        self._cache = cache
        self._membership = membership

    def live_nodes(self) -> list[str]:
        """Return the current members.

        They are those of the roster, which all controllers share.  Schema version 1 has no roster;
        each controller then uses its own assessments, and a disagreement only causes a retry.
        """
        members = self._membership.members()
        if members:
            return members
        assessments = self._membership.policy.assessments.items()
        serving = {node for node, assessment in assessments if assessment.can_serve}
        return [node for node in self._nodes if node == self._node or node in serving]

    def is_assigned(self, team: str) -> bool:
        """Return whether this process may commit starts of a team now."""
        if self._cache.schema_version == SCHEMA_V1:
            return self._ring_assignee(team) == self._node
        return may_schedule(self._cache, team, self._membership.own)

    def assignee(self, team: str) -> str:
        """Return the controller that is responsible for a team."""
        if self._cache.schema_version != SCHEMA_V1:
            assignee = self._membership.assignee(team)
            if assignee:
                return assignee
        return self._ring_assignee(team)

    def _ring_assignee(self, team: str) -> str:
        """Return the first live controller on the ring, starting at the team's position."""
        start = self._teams.index(team) if team in self._teams else 0
        live = set(self.live_nodes())
        for step in range(len(self._nodes)):
            node = self._nodes[(start + step) % len(self._nodes)]
            if node in live:
                return node
        return self._node
