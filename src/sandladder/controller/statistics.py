"""A line in the log now and then: what was checked, committed and rejected."""

import logging

import anyio

from sandladder.scheduling import Gate
from sandladder.state import GroupCommitter

log = logging.getLogger(__name__)


class StatisticsLog:
    """Logs the counters of the gate and of the group commit."""

    def __init__(self, gate: Gate, committer: GroupCommitter, interval_s: float) -> None:
        """`interval_s`: how often, in seconds."""
        self._gate = gate
        self._committer = committer
        self._interval_s = interval_s

    async def run(self) -> None:
        """Log at each interval until cancelled."""
        while True:
            await anyio.sleep(self._interval_s)
            self._log()

    def _log(self) -> None:
        gate, committer = self._gate, self._committer
        log.info(
            "gate: %d premises checked (a full scan: %d), verdicts %s; "
            "%d transactions committed (%s), %d rejected (%s), %d changes waiting",
            gate.premise_checks,
            gate.full_scan_checks,
            dict(gate.verdicts),
            committer.committed,
            dict(committer.committed_keys),
            committer.rejected,
            dict(committer.conflicting_keys),
            committer.queued,
        )
