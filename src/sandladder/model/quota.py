"""Team quotas: the headroom under a limit, and whether a task falls within a guarantee.

A team may be limited in CPUs, in GPUs, in both or in neither.  The platform's settings use 0 for
"no limit"; here it is `None`, so that it cannot be mistaken for an amount.  Pure.
"""

from collections.abc import Iterator
from typing import NamedTuple

from sandladder.config import TeamLimits
from sandladder.model.jobs import JobSpec

# Tolerance for rounding errors in sums of decimal amounts.
EPSILON = 1e-6


class TeamUsage(NamedTuple):
    """The CPUs and GPUs held by a team's attempts whose end is not proved."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, spec: JobSpec, tasks: int) -> "TeamUsage":
        """Return the usage with `tasks` more tasks of a job, or fewer if negative."""
        cpus = self.cpus + tasks * spec.cpus
        gpus = self.gpus + tasks * spec.gpus
        return TeamUsage(max(0.0, round(cpus, 6)), max(0.0, round(gpus, 6)))


NO_USAGE = TeamUsage()


class Headroom(NamedTuple):
    """The remaining CPUs and GPUs under a team's limits; `None` for no limit."""

    cpus: float | None = None
    gpus: float | None = None

    def minus(self, usage: TeamUsage) -> "Headroom":
        """Return the headroom that remains after this additional usage."""
        return Headroom(
            None if self.cpus is None else self.cpus - usage.cpus,
            None if self.gpus is None else self.gpus - usage.gpus,
        )

    def covers(self, spec: JobSpec, tasks: int = 1) -> bool:
        """Return whether `tasks` more tasks of a job fit within the headroom."""
        return all(
            tasks * demand <= available + EPSILON for available, demand in self._limited(spec)
        )

    def tasks_within(self, spec: JobSpec, wanted: int) -> int:
        """Return how many of the `wanted` tasks of a job fit within the headroom."""
        for available, demand in self._limited(spec):
            wanted = min(wanted, int((available + EPSILON) / demand))
        return max(0, wanted)

    def _limited(self, spec: JobSpec) -> Iterator[tuple[float, float]]:
        """Yield (headroom, demand of one task) for each limited resource that a job needs."""
        if self.cpus is not None and spec.cpus > 0:
            yield self.cpus, spec.cpus
        if self.gpus is not None and spec.gpus > 0:
            yield self.gpus, spec.gpus


# For a team without settings, whose tasks may not start.
NO_HEADROOM = Headroom(0.0, 0.0)


def headroom(limits: TeamLimits | None, usage: TeamUsage) -> Headroom:
    """Return the headroom under a team's limits; zero for a team without settings."""
    if limits is None:
        return NO_HEADROOM
    return Headroom(limits.cpus_max or None, limits.gpus_max or None).minus(usage)


def nearly_exhausted(limits: TeamLimits | None, usage: TeamUsage, share: float) -> bool:
    """Return whether the headroom is below this share of any of a team's limits."""
    if limits is None:
        return True
    limited = ((limits.cpus_max, usage.cpus), (limits.gpus_max, usage.gpus))
    return any(limit > 0 and limit - used < share * limit for limit, used in limited)


def within_guarantee(limits: TeamLimits | None, usage: TeamUsage, spec: JobSpec) -> bool:
    """Return whether one more task of a job falls within its team's guarantee.

    Only resources with a guarantee count; the settings use 0 for "no guarantee".  Returns False for
    a team without any guarantee.
    """
    if limits is None:
        return False
    checks = [
        used + demand <= guarantee + EPSILON
        for guarantee, used, demand in (
            (limits.cpus, usage.cpus, spec.cpus),
            (limits.gpus, usage.gpus, spec.gpus),
        )
        if guarantee > 0
    ]
    return bool(checks) and all(checks)
