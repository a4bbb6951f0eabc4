"""The measurements by kind; each gives the rows of a run by its name."""

from collections.abc import Callable, Iterator

from capacity.memory_use import memory_use
from capacity.message_sizes import sizes_of_messages
from capacity.rows import Row
from capacity.step_times import times_of_steps

Measurement = Callable[[str], Iterator[Row]]

KINDS: dict[str, Measurement] = {
    "bytes": sizes_of_messages,
    "steps": times_of_steps,
    "memory": memory_use,
}
