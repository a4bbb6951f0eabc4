"""All settings of one controller, and values derived from them."""

from pathlib import Path

import msgspec

from sandladder.config.checks import check_platform
from sandladder.config.operator_file import Operator, load_operator
from sandladder.config.platform_file import Platform, read_platform_file

# The known kinds of service-level objectives.  Only `wait` and `finished` are used.
OBJECTIVE_KINDS = frozenset(
    {
        "deadline",
        "finished",
        "guarantee",
        "node_restarts",
        "price",
        "rules",
        "submit",
        "up",
        "useful",
        "wait",
    }
)


class Settings(msgspec.Struct, frozen=True):
    """The settings of one controller: the platform's and the operators'."""

    platform: Platform
    operator: Operator = Operator()

    @property
    def node(self) -> str:
        """The name of this controller."""
        return self.platform.node_name

    @property
    def node_names(self) -> list[str]:
        """The names of all controllers, sorted."""
        return sorted([self.node, *(peer.node_name for peer in self.platform.peers)])

    @property
    def unknown_objectives(self) -> list[str]:
        """The kinds of objectives in the file that this version does not know, sorted."""
        kinds = {objective.kind for objective in self.platform.deployment.objectives}
        return sorted(kinds - OBJECTIVE_KINDS)

    @property
    def start_objectives_s(self) -> dict[str, float]:
        """The strictest start-time objective of each class, in seconds."""
        return {job_class: min(times) for job_class, times in self._times_by_class("wait").items()}

    @property
    def completion_objectives_s(self) -> dict[str, list[float]]:
        """The completion-time objectives of each class, in seconds."""
        return self._times_by_class("finished")

    def _times_by_class(self, kind: str) -> dict[str, list[float]]:
        """Return the times of each class's objectives of one kind, in seconds."""
        times_by_class: dict[str, list[float]] = {}
        for objective in self.platform.deployment.objectives:
            job_class, within_s = objective.cls, objective.within_s
            if objective.kind == kind and job_class is not None and within_s is not None:
                times_by_class.setdefault(job_class, []).append(within_s)
        return times_by_class


def load_platform(path: Path) -> Platform:
    """Read and check the platform's file.

    Raises:
        SettingsError: the file cannot be read or is invalid; the text names the field.
    """
    platform = read_platform_file(path)
    check_platform(platform)
    return platform


def load(config: Path, operator: Path | None = None) -> Settings:
    """Read and check both files; the operators' file is optional.

    Raises:
        SettingsError: a file cannot be read or is invalid; the text names the field.
    """
    platform = load_platform(config)
    return Settings(platform) if operator is None else Settings(platform, load_operator(operator))
