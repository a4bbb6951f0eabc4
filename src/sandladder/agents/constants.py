"""Operations of a `Command`, states of a `ReportedTask`, outcomes of an `EndedAttempt`.

Plain strings, for the records and the messages between controllers hold them as they are.
"""

from typing import Final

# Operations of a command.
START: Final = "start"
STOP: Final = "stop"
FORGET: Final = "forget"

# States in which an agent reports a task; any other leaves what is to be done unchanged.
TASK_SAVING: Final = "flushing"  # it writes its checkpoint before it ends
TASK_EXITED: Final = "exited"

# Causes with which an exited task is reported.
EXIT_DONE: Final = "done"
EXIT_ERROR: Final = "error"

# Outcomes of an attempt that are concluded here; any other is the reported cause of its exit.
OUTCOME_LOST: Final = "lost"  # its machine, or the agent's session, is surely over
OUTCOME_NEVER_STARTED: Final = "never"  # it was stopped before it was started
OUTCOME_CHECKPOINTED: Final = "saved"  # it exited with its progress saved
