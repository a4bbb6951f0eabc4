"""The moment as of which the cluster view answers."""


class ViewTime:
    """A moment that the owner of the cluster view sets before it asks; shared by its parts."""

    __slots__ = ("now", "ahead")

    def __init__(self) -> None:
        self.now = 0.0  # on the steady clock, in seconds
        self.ahead = 0.0  # how far the time of day is ahead of the steady clock, in seconds

    @property
    def wall(self) -> float:
        """The time of day, in seconds."""
        return self.now + self.ahead
