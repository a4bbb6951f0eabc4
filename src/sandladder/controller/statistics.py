"""Periodic logging of the counters of the gate and of the group commit."""

import logging

import anyio

from sandladder.scheduling import Gate
from sandladder.state import GroupCommitter

log = logging.getLogger(__name__)


class StatisticsLog:
    """Logs the counters of the gate and of the group commit at intervals."""

    def __init__(self, gate: Gate, committer: GroupCommitter, interval_s: float) -> None:
        """Create the log; `interval_s` is the time between two lines, in seconds."""
        self._gate = gate
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
