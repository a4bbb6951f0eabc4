"""The time of the cluster view."""


class ViewTime:
    """The time of the cluster view, shared by its parts; callers set it before each query."""

    __slots__ = ("now", "wall_offset_s")

    def __init__(self) -> None:
        self.now = 0.0  # on the steady clock, in seconds
        self.wall_offset_s = 0.0  # the time of day minus the steady clock, in seconds

    @property
    def wall_time(self) -> float:
        """The time of day, in seconds."""
        return self.now + self.wall_offset_s
