"""A controller's state of one agent, derived from the agent's heartbeats."""

import math

from sandladder.agents.constants import EXIT_DONE, EXIT_ERROR, TASK_EXITED
from sandladder.model import AgentHeartbeat, TaskStatus

AttemptKey = tuple[str, int, int]  # job, task, attempt


class AgentSession:
    """The state of one agent: its latest heartbeat and the commands sent to it.

    Times are in seconds on this controller's steady clock.  Performs no I/O and reads no clock.
    """

    def __init__(self, heartbeat: AgentHeartbeat) -> None:
        self.heartbeat = heartbeat  # the latest heartbeat
        # Arrival of the latest heartbeat, either a request or the response to a command, and
        # arrival of the latest request.
        self.last_seen_at = 0.0
        self.last_request_at = 0.0
        # When the cloud will terminate the machine; None without a termination notice.
        self.termination_at: float | None = None
        self.reported_tasks: dict[AttemptKey, TaskStatus] = {}
        # Attempts reported in this agent epoch; none of them is started again.
        self.seen_attempts: set[AttemptKey] = set()
        # Whether the agent has reported this controller's fencing token, so that it rejects
        # commands under earlier tokens.
        self.accepts_token = False
        self.synced = False  # whether the store was read after the agent accepted the token
        self.acceptance_count = 0  # number of changes of `accepts_token` to True
        # Token of an unanswered direct command with a start.  The start may still be delivered
        # until the agent reports a later token or epoch.
        self.unanswered_start_token: int | None = None
        # Whether a heartbeat response that the agent may not have received yet contains a start.
        self.start_in_response = False
        # If a start may still be delivered: the time up to which all cancellations were known when
        # it was sent.  Infinite otherwise.
        self.late_start_cancellations_known_until = math.inf
        self.command_in_flight = False
        # Jobs with a failed task since the last success, with the time of the latest failure.
        self.failed_jobs: dict[str, float] = {}
        self._counted_exits: set[AttemptKey] = set()

    @property
    def agent_epoch(self) -> int:
        """The agent's epoch; all tasks of its earlier epochs have ended."""
        return self.heartbeat.agent_epoch

    @property
    def late_start_possible(self) -> bool:
        """Whether an earlier start that was not confirmed may still be delivered to the agent."""
        return self.unanswered_start_token is not None or self.start_in_response

    def is_newer(self, heartbeat: AgentHeartbeat) -> bool:
        """Return whether a heartbeat was made after the latest known one."""
        latest = self.heartbeat
        return (heartbeat.agent_epoch, heartbeat.sequence_number) > (
            latest.agent_epoch,
            latest.sequence_number,
        )

    def apply_heartbeat(self, heartbeat: AgentHeartbeat, now: float, *, direct: bool) -> None:
        """Apply a newer heartbeat; `direct` marks the response to a direct command."""
        if heartbeat.agent_epoch != self.heartbeat.agent_epoch:
            self._begin_epoch()
        self.heartbeat = heartbeat
        self.last_seen_at = now
        if not direct:
            self.last_request_at = now
            # The agent has one request in flight, so it has processed the previous response.
            self.start_in_response = False
        self.termination_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self.reported_tasks = {
            (task.job, task.task, task.attempt): task for task in heartbeat.tasks
        }
        self.seen_attempts.update(self.reported_tasks)
        self._count_exits(now)

    def forget_failures(self, before: float) -> None:
        """Drop the failed jobs whose latest failure was before a time."""
        self.failed_jobs = {job: at for job, at in self.failed_jobs.items() if at >= before}

    def accept_token(self) -> None:
        """Record that the agent has reported this controller's fencing token."""
        if not self.accepts_token:
            self.accepts_token, self.synced = True, False
            self.acceptance_count += 1

    def revoke_token(self) -> None:
        """Record that the agent may no longer accept this controller's fencing token."""
        self.accepts_token = self.synced = False

    def rule_out_late_start(self) -> None:
        """Record that no earlier direct start can still be delivered."""
        self.unanswered_start_token = None
        if not self.command_in_flight:
            self.late_start_cancellations_known_until = math.inf

    def _begin_epoch(self) -> None:
        """Discard the state of the previous epoch, all of whose tasks have ended."""
        self.seen_attempts = set()
        self._counted_exits = set()
        self.failed_jobs = {}
        # The agent rejects commands for an earlier epoch.
        self.rule_out_late_start()

    def _count_exits(self, now: float) -> None:
        """Update the failed jobs from the tasks that were newly reported as exited."""
        for key, task in self.reported_tasks.items():
            if task.state != TASK_EXITED or key in self._counted_exits:
                continue
            self._counted_exits.add(key)
            if task.cause == EXIT_ERROR:
                self.failed_jobs[task.job] = now
            elif task.cause == EXIT_DONE:
                self.failed_jobs = {}
        self._counted_exits &= self.reported_tasks.keys()
