"""A controller's state of one agent, derived from the agent's heartbeats."""

import math

from sandladder.agents.constants import EXIT_DONE, EXIT_ERROR, TASK_EXITED
from sandladder.agents.repeated_attempts import ReportedExits
from sandladder.agents.sent_starts import AttemptKey, SentStarts
from sandladder.agents.token_range import TokenRange
from sandladder.model import AgentHeartbeat, TaskStatus


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
        # The range of this controller's tokens that contains the one that the agent shows; None if
        # the agent shows a token of another controller, or an earlier one.
        self.accepted_tokens: TokenRange | None = None
        self.synced = False  # whether the store was read after the agent accepted a token
        self.acceptance_count = 0  # number of times that the agent accepted a token after none
        self.sent_starts = SentStarts()
        # The latest token under which an exited task that it lists may be started again; 0 if none.
        self.exited_start_token = 0
        # Token of an unanswered direct command with a start.  The start may still be delivered
        # until the agent reports a later token or epoch.
        self.unanswered_start_token: int | None = None
        # If a start may still be delivered: the time up to which all cancellations were known when
        # it was sent.  Infinite otherwise.
        self.late_start_cancellations_known_until = math.inf
        self.command_in_flight = False
        # Jobs with a failed task since the last success, with the time of the latest failure.
        self.failed_jobs: dict[str, float] = {}
        self.reported_exits = ReportedExits()
        self._counted_exits: set[AttemptKey] = set()

    @property
    def agent_epoch(self) -> int:
        """The agent's epoch; all tasks of its earlier epochs have ended."""
        return self.heartbeat.agent_epoch

    @property
    def accepts_token(self) -> bool:
        """Whether the agent accepts commands of this controller and of no earlier one."""
        return self.accepted_tokens is not None

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
        self.termination_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self.reported_tasks = {
            (task.job, task.task, task.attempt): task for task in heartbeat.tasks
        }
        self.seen_attempts.update(self.reported_tasks)
        if not direct:
            self.last_request_at = now
            self.sent_starts.drop_lost_responses(self.reported_tasks.keys())
        self._rule_out_starts(heartbeat.fencing_token)
        self._count_exits(now)

    def forget_failures(self, before: float) -> None:
        """Drop the failed jobs whose latest failure was before a time."""
        self.failed_jobs = {job: at for job, at in self.failed_jobs.items() if at >= before}

    def accept_tokens(self, tokens: TokenRange) -> None:
        """Record that the agent has shown a token of this controller, of the given range."""
        if self.accepted_tokens is None:
            self.synced = False
            self.acceptance_count += 1
        self.accepted_tokens = tokens

    def revoke_token(self) -> None:
        """Record that the agent may no longer accept this controller's fencing tokens."""
        self.accepted_tokens, self.synced = None, False

    def _rule_out_starts(self, token: int) -> None:
        """Record that the agent has seen a token and rejects commands under earlier ones."""
        self.sent_starts.rule_out_before(token)
        if self.unanswered_start_token is not None and token > self.unanswered_start_token:
            self._rule_out_unanswered_start()

    def _rule_out_unanswered_start(self) -> None:
        self.unanswered_start_token = None
        if not self.command_in_flight:
            self.late_start_cancellations_known_until = math.inf

    def _begin_epoch(self) -> None:
        """Discard the state of the previous epoch, all of whose tasks have ended."""
        self.seen_attempts = set()
        self._counted_exits = set()
        self.failed_jobs = {}
        self.reported_exits = ReportedExits()
        # The agent rejects commands for an earlier epoch.
        self.sent_starts = SentStarts()
        self._rule_out_unanswered_start()

    def _count_exits(self, now: float) -> None:
        """Update the failed jobs from the tasks that were newly reported as exited."""
        for key, task in self.reported_tasks.items():
            if task.state != TASK_EXITED or key in self._counted_exits:
                continue
            self._counted_exits.add(key)
            self.reported_exits.add(key, self.sent_starts.latest_token(key))
            if task.cause == EXIT_ERROR:
                self.failed_jobs[task.job] = now
            elif task.cause == EXIT_DONE:
                self.failed_jobs = {}
        self._counted_exits &= self.reported_tasks.keys()
        self.exited_start_token = max(
            (self.sent_starts.latest_token(key) for key in self._counted_exits), default=0
        )
