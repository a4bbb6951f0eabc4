"""What a controller knows of one agent from the heartbeats that the agent sent to it."""

import math

from sandladder.agents.constants import EXIT_DONE, EXIT_ERROR, TASK_EXITED
from sandladder.model import AgentHeartbeat, TaskStatus

AttemptKey = tuple[str, int, int]  # job, task, attempt


class AgentSession:
    """One agent, as its latest heartbeat and the commands sent to it leave it.

    Times are in seconds on this controller's steady clock.  Pure: no I/O, no clock.
    """

    def __init__(self, heartbeat: AgentHeartbeat) -> None:
        self.heartbeat = heartbeat  # the latest
        # When the latest heartbeat came, be it the response to a command or the agent's own
        # request, and when the latest of its own requests came.
        self.last_seen_at = 0.0
        self.last_request_at = 0.0
        # When the cloud takes the machine away; None: it has given no notice.
        self.termination_at: float | None = None
        self.reported_tasks: dict[AttemptKey, TaskStatus] = {}
        # Attempts that a heartbeat of this session has shown: none is started again.
        self.seen_attempts: set[AttemptKey] = set()
        # The agent has shown our fencing token, so it refuses commands from any controller with
        # an earlier one.  `synced`: our copy of the records was read after that.
        self.accepts_token = False
        self.synced = False
        self.acceptance_count = 0  # how often it came to accept our token
        # A direct command with a start was sent under this token and not answered: the start may
        # still arrive, until the agent shows a later token or session.
        self.stale_start_token: int | None = None
        # A start went out in a response that the agent may not have received yet.
        self.start_in_response = False
        # Up to when cancellations were known when a start was sent that may still arrive;
        # infinite: there is none.
        self.late_start_known_until = math.inf
        self.command_in_flight = False
        self.failed_jobs: set[str] = set()  # jobs that failed here since one succeeded
        self._counted_exits: set[AttemptKey] = set()

    @property
    def session(self) -> int:
        """The number of the agent's session; a restarted agent has a higher one."""
        return self.heartbeat.agent_epoch

    @property
    def start_may_be_late(self) -> bool:
        """Whether a start of ours may arrive that is neither answered nor in flight any more."""
        return self.stale_start_token is not None or self.start_in_response

    def is_newer(self, heartbeat: AgentHeartbeat) -> bool:
        """Whether a heartbeat was made after the latest that is known."""
        known = self.heartbeat
        return (heartbeat.agent_epoch, heartbeat.sequence_number) > (
            known.agent_epoch,
            known.sequence_number,
        )

    def take_in(self, heartbeat: AgentHeartbeat, now: float, *, direct: bool) -> None:
        """Note what a newer heartbeat shows; `direct`: it came as the response to a command."""
        if heartbeat.agent_epoch != self.heartbeat.agent_epoch:
            self._begin_session()
        self.heartbeat = heartbeat
        self.last_seen_at = now
        if not direct:
            self.last_request_at = now
            # The agent keeps one request in flight, so it is done with the last response.
            self.start_in_response = False
        self.termination_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self.reported_tasks = {(e.job, e.task, e.attempt): e for e in heartbeat.tasks}
        self.seen_attempts.update(self.reported_tasks)
        self._count_exits()

    def accept_token(self) -> None:
        """The agent has shown our fencing token."""
        if not self.accepts_token:
            self.accepts_token, self.synced = True, False
            self.acceptance_count += 1

    def revoke_token(self) -> None:
        """The agent is not known to accept our fencing token any more."""
        self.accepts_token = self.synced = False

    def rule_out_late_start(self) -> None:
        """No start that was sent directly before can arrive any more."""
        self.stale_start_token = None
        if not self.command_in_flight:
            self.late_start_known_until = math.inf

    def _begin_session(self) -> None:
        """The agent was restarted: nothing of its former session is there any more."""
        self.seen_attempts = set()
        self._counted_exits = set()
        self.failed_jobs = set()
        # A command for an earlier session is refused by the agent itself.
        self.rule_out_late_start()

    def _count_exits(self) -> None:
        """Note which jobs failed here in a row."""
        for key, task in self.reported_tasks.items():
            if task.state != TASK_EXITED or key in self._counted_exits:
                continue
            self._counted_exits.add(key)
            if task.cause == EXIT_ERROR:
                self.failed_jobs.add(task.job)
            elif task.cause == EXIT_DONE:
                self.failed_jobs = set()
        self._counted_exits &= self.reported_tasks.keys()
