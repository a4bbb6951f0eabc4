"""Detection of attempts that run although the records hold them as ended.

Performs no I/O and reads no clock.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.constants import STOP, TASK_EXITED
from sandladder.agents.sent_starts import AttemptKey
from sandladder.model import AgentHeartbeat, Command
from sandladder.state import StateCache

log = logging.getLogger(__name__)


class UncommittedStops(NamedTuple):
    """The stops of running attempts that are not live in the records, in a batch of commands.

    Attributes:
        heartbeat: the latest heartbeat before the batch was sent, which shows the attempts running.
        attempts: the attempts.
    """

    heartbeat: AgentHeartbeat
    attempts: list[AttemptKey]


def uncommitted_stops(
    agent: AgentSession, cache: StateCache, commands: Iterable[Command]
) -> UncommittedStops:
    """Return the stops of running attempts without a committed start, before they are sent."""
    committed = {
        (job.id, task, attempt.attempt)
        for job, task, attempt in cache.attempts_on(agent.heartbeat.machine)
    }
    attempts: list[AttemptKey] = []
    for command in commands:
        key = (command.job, command.task, command.attempt)
        reported = agent.reported_tasks.get(key)
        is_running = reported is not None and reported.state != TASK_EXITED
        if command.operation == STOP and is_running and key not in committed:
            attempts.append(key)
    return UncommittedStops(agent.heartbeat, attempts)


class EndContradictions:
    """Counts and logs the attempts whose recorded end is contradicted by their agent.

    An agent that answers a command was alive after the command was sent.  If its answer follows a
    heartbeat that showed an attempt running, with no message in between, no exit of the attempt was
    reported before; if it is of the same epoch, the epoch had not ended.  So a record that no
    longer held the attempt when the command was sent was wrong.
    """

    def __init__(self, cache: StateCache) -> None:
        """Start with a count of zero; `cache` holds the attempts that are live in the records."""
        self._cache = cache
        self.count = 0

    def check(self, stops: UncommittedStops, response: AgentHeartbeat) -> None:
        """Check the response to a batch with these stops."""
        before = stops.heartbeat
        follows = response.sequence_number == before.sequence_number + 1
        if not follows or response.agent_epoch != before.agent_epoch:
            return
        present = {(task.job, task.task, task.attempt) for task in response.tasks}
        for key in stops.attempts:
            if key in present:
                self._record(key, response)

    def _record(self, key: AttemptKey, response: AgentHeartbeat) -> None:
        self.count += 1
        job_id, task, attempt = key
        job = self._cache.jobs.get(job_id)
        live = None if job is None else job.live.get(task)
        log.error(
            "task %s/%d ran on machine %s (epoch %d, attempt %d) after its end was recorded; "
            "its live attempt: %s",
            job_id,
            task,
            response.machine,
            response.agent_epoch,
            attempt,
            "none" if live is None else f"{live.attempt} on {live.machine}",
        )
