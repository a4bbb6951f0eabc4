"""The measurements, by kind."""

from collections.abc import Callable, Iterator

from capacity.memory_use import memory_use
from capacity.message_sizes import sizes_of_messages
from capacity.rows import Row
from capacity.step_times import times_of_steps

# Measures and yields the rows of a run, given its name.
Measurement = Callable[[str], Iterator[Row]]

KINDS: dict[str, Measurement] = {
    "bytes": sizes_of_messages,
    "steps": times_of_steps,
    "memory": memory_use,
}
