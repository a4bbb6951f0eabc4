"""Operations of a `Command`, states of a `TaskStatus`, and outcomes of an `EndedAttempt`.

Plain strings, as stored in the records and sent between controllers.
"""

from typing import Final

# Operations of a command.
START: Final = "start"
STOP: Final = "stop"
FORGET: Final = "forget"

# States of a reported task that affect the commands; all other states are treated alike.
TASK_SAVING: Final = "flushing"  # writing a checkpoint before it exits
TASK_EXITED: Final = "exited"

# Exit causes of a reported task.
EXIT_DONE: Final = "done"
EXIT_ERROR: Final = "error"

# Outcomes determined by the controller; any other outcome is the reported exit cause.
OUTCOME_LOST: Final = "lost"  # its machine or its agent's epoch has certainly ended
OUTCOME_NEVER_STARTED: Final = "never"  # stopped before it was started
OUTCOME_CHECKPOINTED: Final = "saved"  # exited after writing a checkpoint
