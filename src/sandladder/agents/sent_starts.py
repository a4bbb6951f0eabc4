"""The starts that this controller sent to an agent and that the agent may still carry out.

A start command may arrive again at any time after it was carried out and answered.  The agent then
ignores it only while it remembers the attempt, or if it has seen a later fencing token or begun a
later epoch.  Starts that other controllers sent need no record here: an agent that shows a token of
this controller has rejected their tokens for good.

Performs no I/O and reads no clock.
"""

from collections.abc import Collection, Container, Iterable

from sandladder.agents.constants import START
from sandladder.model import Command

AttemptKey = tuple[str, int, int]  # job, task, attempt


class SentStarts:
    """By attempt, the latest fencing token under which a start was sent to an agent."""

    def __init__(self) -> None:
        self._direct: dict[AttemptKey, int] = {}
        self._in_response: dict[AttemptKey, int] = {}

    def record_direct(self, commands: Iterable[Command], token: int) -> None:
        """Record the starts among commands that are about to be sent directly."""
        self._direct.update(_starts(commands, token))

    def record_in_response(self, commands: Iterable[Command], token: int) -> None:
        """Record the starts among commands in the response to a heartbeat."""
        self._in_response.update(_starts(commands, token))

    def latest_token(self, attempt: AttemptKey) -> int:
        """Return the latest token under which a start of an attempt may arrive; 0 if none may."""
        return max(self._direct.get(attempt, 0), self._in_response.get(attempt, 0))

    def unreported(self, reported: Container[AttemptKey]) -> set[AttemptKey]:
        """Return the attempts whose start may still arrive and that the agent does not list."""
        return {
            attempt
            for starts in (self._direct, self._in_response)
            for attempt in starts
            if attempt not in reported
        }

    def rule_out_before(self, token: int) -> None:
        """Drop the starts under tokens before the highest one that the agent has seen."""
        for starts in (self._direct, self._in_response):
            for attempt in [key for key, sent_under in starts.items() if sent_under < token]:
                del starts[attempt]

    def drop_lost_responses(self, reported: Collection[AttemptKey]) -> None:
        """Drop the starts in earlier responses that a new request of the agent does not show.

        The agent has one request in flight and has dropped the response that it does not show.
        """
        for attempt in self._in_response.keys() - reported:
            del self._in_response[attempt]


def _starts(commands: Iterable[Command], token: int) -> dict[AttemptKey, int]:
    return {
        (command.job, command.task, command.attempt): token
        for command in commands
        if command.operation == START
    }
