"""Quotas of teams: what is left under a limit, and whether a task falls within a guarantee.

A team may be limited in CPUs, in GPUs, in both or in neither; the platform's settings write 0 for
a resource in which it is not.  `None` stands for "no limit" here, so that no large number can be
mistaken for an amount, and nothing unlimited reaches a record or a message.  Pure.
"""

from collections.abc import Iterator
from typing import NamedTuple

from sandladder.config import TeamLimits
from sandladder.model.jobs import JobSpec

# Tolerance for rounding when amounts that are decimal numbers are added up.
EPSILON = 1e-6


class TeamUsage(NamedTuple):
    """CPUs and GPUs used by a team's attempts, over all whose end is not proved."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, spec: JobSpec, tasks: int) -> "TeamUsage":
        """With so many tasks of a job more, or fewer where the number is negative."""
        cpus = self.cpus + tasks * spec.cpus
        gpus = self.gpus + tasks * spec.gpus
        return TeamUsage(max(0.0, round(cpus, 6)), max(0.0, round(gpus, 6)))


NO_USAGE = TeamUsage()


class Headroom(NamedTuple):
    """How much more a team's tasks may use; `None` where the team is not limited."""

    cpus: float | None = None
    gpus: float | None = None

    def minus(self, usage: TeamUsage) -> "Headroom":
        """What is left once so much more is used."""
        return Headroom(
            None if self.cpus is None else self.cpus - usage.cpus,
            None if self.gpus is None else self.gpus - usage.gpus,
        )

    def covers(self, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether so many more tasks of a job may run."""
        return all(tasks * need <= left + EPSILON for left, need in self._limited(spec))

    def tasks_within(self, spec: JobSpec, wanted: int) -> int:
        """How many of the wanted tasks of a job may run."""
        for left, need in self._limited(spec):
            wanted = min(wanted, int((left + EPSILON) / need))
        return max(0, wanted)

    def _limited(self, spec: JobSpec) -> Iterator[tuple[float, float]]:
        """What is left of each limited resource that a task of a job needs, and its need."""
        if self.cpus is not None and spec.cpus > 0:
            yield self.cpus, spec.cpus
        if self.gpus is not None and spec.gpus > 0:
            yield self.gpus, spec.gpus


# For a team that the settings do not name: nothing of it may start.
NO_HEADROOM = Headroom(0.0, 0.0)


def headroom(limits: TeamLimits | None, usage: TeamUsage) -> Headroom:
    """What is left under a team's limits; nothing for a team without settings (fails closed)."""
    if limits is None:
        return NO_HEADROOM
    return Headroom(limits.cpus_max or None, limits.gpus_max or None).minus(usage)


def nearly_exhausted(limits: TeamLimits | None, usage: TeamUsage, share: float) -> bool:
    """Whether less than this share of some limit of a team is left."""
    if limits is None:
        return True
    limited = ((limits.cpus_max, usage.cpus), (limits.gpus_max, usage.gpus))
    return any(limit > 0 and limit - used < share * limit for limit, used in limited)


def within_guarantee(limits: TeamLimits | None, usage: TeamUsage, spec: JobSpec) -> bool:
    """Whether one more task of a job falls within its team's guarantee.

    A guarantee promises a team no waiting while all its unfinished jobs fit within it together,
    and the settings write 0 for a resource in which none is given.  So the resources in which one
    is given are counted: a task that needs no GPU does not use up a guarantee of GPUs.  A team
    without any guarantee has none to be within.
    """
    if limits is None:
        return False
    given = [
        used + need <= guarantee + EPSILON
        for guarantee, used, need in (
            (limits.cpus, usage.cpus, spec.cpus),
            (limits.gpus, usage.gpus, spec.gpus),
        )
        if guarantee > 0
    ]
    return bool(given) and all(given)
