"""The cluster's cloud instances, decoded from the records of their chunks.

A chunk is a range of machine numbers whose instances share a record.
"""

from typing import Any

from sandladder.model import Machine
from sandladder.state.codecs.instances import read_instances


class Instances:
    """All instances, and the names in each chunk.

    Attributes:
        by_name: the instances by name.
        chunks: by chunk, the names of its instances.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Machine] = {}
        self.chunks: dict[int, list[str]] = {}

    def set_chunk(self, chunk: int, value: Any) -> None:
        """Replace the instances of one chunk by its new record; None is a deleted record.

        A malformed record raises its decoding error and changes nothing.
        """
        machines = {} if value is None else read_instances(value)
        for machine in self.chunks.pop(chunk, ()):
            del self.by_name[machine]
        if value is not None:
            self.by_name.update(machines)
            self.chunks[chunk] = list(machines)
