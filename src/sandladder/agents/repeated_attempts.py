"""Detection of attempts that run again on a machine after their exit was reported.

Performs no I/O and reads no clock.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.agents.constants import FORGET, TASK_EXITED
from sandladder.agents.sent_starts import AttemptKey
from sandladder.model import AgentHeartbeat, Command

log = logging.getLogger(__name__)

# The exits that are remembered for each agent, the latest ones.
_MAX_EXITS = 64


class _Exit(NamedTuple):
    """The tokens under which an attempt's commands were last sent; 0 if they were not sent here."""

    start_token: int
    forget_token: int


class ReportedExits:
    """The latest exits that an agent has reported in its current epoch."""

    def __init__(self) -> None:
        self._exits: dict[AttemptKey, _Exit] = {}

    def add(self, attempt: AttemptKey, start_token: int) -> None:
        """Add an exit, with the token under which the attempt's start was last sent, or 0."""
        if attempt in self._exits:
            return
        self._exits[attempt] = _Exit(start_token, 0)
        if len(self._exits) > _MAX_EXITS:
            del self._exits[next(iter(self._exits))]

    def record_forgets(self, commands: Iterable[Command], token: int) -> None:
        """Record the token under which attempts are commanded to be forgotten."""
        for command in commands:
            attempt = (command.job, command.task, command.attempt)
            known = self._exits.get(attempt)
            if command.operation == FORGET and known is not None:
                self._exits[attempt] = known._replace(forget_token=token)

    def log_repeated(self, heartbeat: AgentHeartbeat) -> int:
        """Log the attempts that run again, each once, and return their number."""
        repeated = 0
        for task in heartbeat.tasks:
            attempt = (task.job, task.task, task.attempt)
            if task.state == TASK_EXITED or attempt not in self._exits:
                continue
            repeated += 1
            tokens = self._exits.pop(attempt)
            log.error(
                "task %s/%d runs again on machine %s (epoch %d, attempt %d) after its exit was "
                "reported; its start was sent under token %d, its forget under token %d, the "
                "machine has seen token %d",
                task.job,
                task.task,
                heartbeat.machine,
                heartbeat.agent_epoch,
                task.attempt,
                tokens.start_token,
                tokens.forget_token,
                heartbeat.fencing_token,
            )
        return repeated
