"""The instances that the cloud runs for the cluster, by the records that contain them."""

from typing import Any

from sandladder.model import Machine
from sandladder.state.codecs.instances import read_instances


class Instances:
    """All instances, and which names each record contains."""

    def __init__(self) -> None:
        self.by_name: dict[str, Machine] = {}
        self.chunks: dict[int, list[str]] = {}  # the names in each record

    def set_chunk(self, chunk: int, value: Any) -> None:
        """The record of one chunk was written; None: deleted.

        A malformed record raises whatever its decoding raises, and changes nothing.
        """
        machines = {} if value is None else read_instances(value)
        for machine in self.chunks.pop(chunk, ()):
            del self.by_name[machine]
        if value is not None:
            self.by_name.update(machines)
            self.chunks[chunk] = list(machines)
