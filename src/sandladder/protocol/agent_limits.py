"""How many tasks and commands fit a message to or from an agent.  Pure: no I/O, no clock.

The limit counts a message's JSON form.  The lengths assumed here are those of the longest names and
numbers that the protocol allows, so that no message exceeds the limit whatever the jobs' ids are.
"""

from typing import Any

from sandladder.protocol.codec import BODY_LIMIT, COUNT_LIMIT, counted_bytes
from sandladder.protocol.job_messages import LONGEST_JOB_ID, TASK_LIMIT

# The room for the fields beside the list: four texts of 128 characters, each of which JSON may
# escape to six bytes, and the numbers.
_OTHER_FIELDS_BYTES = 4096
_LONGEST_TASK = f"{LONGEST_JOB_ID}/{TASK_LIMIT}"
_LONGEST_COUNT = COUNT_LIMIT - 1
_LONGEST_NUMBER = -2.2250738585072014e-308
_SEPARATOR_BYTES = 1


def _max_items(longest: dict[str, Any]) -> int:
    """Return how many items of a list fit a message, if all are as long as this one."""
    item_bytes = counted_bytes(longest) + _SEPARATOR_BYTES
    return (BODY_LIMIT - _OTHER_FIELDS_BYTES) // item_bytes


# The tasks that a heartbeat can list, including those that have exited.
MAX_LISTED_TASKS = _max_items(
    {
        "entry": _LONGEST_TASK,
        "try": _LONGEST_COUNT,
        "standing": "exited",
        "cause": "mates_gone",
        "saved": False,
    }
)
# The commands of one message.
MAX_COMMANDS = _max_items(
    {
        "verb": "halt",
        "entry": _LONGEST_TASK,
        "try": _LONGEST_COUNT,
        "mercy_s": _LONGEST_NUMBER,
    }
)
