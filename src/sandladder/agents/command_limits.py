"""The commands for one message, such that it and the agent's next heartbeat fit the size limit.

Performs no I/O and reads no clock.
"""

from collections.abc import Sequence

from sandladder.agents.agent_session import AgentSession
from sandladder.model import Command
from sandladder.protocol.agent_limits import MAX_COMMANDS, MAX_LISTED_TASKS


def limited_commands(
    agent: AgentSession,
    forgets: Sequence[Command],
    stops: Sequence[Command],
    starts: Sequence[Command],
) -> list[Command]:
    """Return the commands that fit one message, in the order in which the agent executes them.

    Stops take precedence if there are too many.  The others follow in later messages, once the
    agent has reported the result of these.
    """
    stops = stops[:MAX_COMMANDS]
    forgets = forgets[: MAX_COMMANDS - len(stops)]
    starts = _starts_with_room(agent, len(forgets), starts)
    return [*forgets, *stops, *starts[: MAX_COMMANDS - len(stops) - len(forgets)]]


def _starts_with_room(
    agent: AgentSession, forgotten: int, starts: Sequence[Command]
) -> list[Command]:
    """Return the starts for which the agent's heartbeat has room.

    A task is listed from its start until it is forgotten.  A longer heartbeat would be rejected,
    the agent's lease would expire, and all tasks on the machine would be killed.

    Args:
        agent: the agent's session.
        forgotten: the number of listed tasks that the same message makes the agent forget.
        starts: the starts in order of preference.
    """
    if not starts:
        return []
    arriving = agent.sent_starts.unreported(agent.reported_tasks)
    room = MAX_LISTED_TASKS - (len(agent.reported_tasks) - forgotten) - len(arriving)
    fitting = []
    for start in starts:
        if (start.job, start.task, start.attempt) not in arriving:
            if room <= 0:
                continue
            room -= 1
        fitting.append(start)
    return fitting
