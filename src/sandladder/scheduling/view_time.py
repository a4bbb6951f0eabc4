"""The moment as of which the cluster view answers."""


class ViewTime:
    """A moment that the owner of the cluster view sets before it asks; shared by its parts."""

    __slots__ = ("now", "wall_offset_s")

    def __init__(self) -> None:
        self.now = 0.0  # on the steady clock, in seconds
        self.wall_offset_s = 0.0  # how far the time of day is ahead of the steady clock, in seconds

    @property
    def wall_time(self) -> float:
        """The time of day, in seconds."""
        return self.now + self.wall_offset_s
