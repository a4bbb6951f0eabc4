"""Periodic logging of the counters of the gate, the group commit and the agents."""

import logging

import anyio

from sandladder.agents import AgentService
from sandladder.scheduling import Gate
from sandladder.state import GroupCommitter

log = logging.getLogger(__name__)


class StatisticsLog:
    """Logs the counters of the gate, the group commit and the agents at intervals."""

    def __init__(
        self,
        gate: Gate,
        committer: GroupCommitter,
        agent_service: AgentService,
        interval_s: float,
    ) -> None:
        """Create the log; `interval_s` is the time between two lines, in seconds."""
        self._gate = gate
        self._agent_service = agent_service
        self._committer = committer
        self._interval_s = interval_s

    async def run(self) -> None:
        """Log once per interval until cancelled."""
        while True:
            await anyio.sleep(self._interval_s)
            self._log()

    def _log(self) -> None:
        gate, committer = self._gate, self._committer
        log.info(
            "gate: %d premises checked (%d without the index), verdicts %s; "
            "%d transactions committed (%s), %d rejected (%s), %d changes waiting; "
            "%d ended attempts ran, %d ran again after their exit",
            gate.premise_checks,
            gate.full_scan_checks,
            dict(gate.verdicts),
            committer.committed,
            dict(committer.committed_keys),
            committer.rejected,
            dict(committer.conflicting_keys),
            committer.queued,
            self._agent_service.contradicted_ends,
            self._agent_service.repeated_attempts,
        )
