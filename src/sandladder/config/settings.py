"""All settings of one controller, and what follows from them."""

from pathlib import Path

import msgspec

from sandladder.config.checks import check_platform
from sandladder.config.operator_file import Operator, load_operator
from sandladder.config.platform_file import Platform, read_platform_file

# The kinds of service-level objectives that users state.  Those for the service as a whole (up,
# submit, useful, price, rules, node_restarts) are met by design alone.
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
        """The kinds of objectives that this program does not know, sorted."""
        kinds = {objective.kind for objective in self.platform.deployment.objectives}
        return sorted(kinds - OBJECTIVE_KINDS)

    @property
    def start_objectives_s(self) -> dict[str, float]:
        """By class, the shortest time within which its tasks should start, in seconds."""
        return {cls: min(times) for cls, times in self._times_of("wait").items()}

    @property
    def completion_objectives_s(self) -> dict[str, list[float]]:
        """By class, the times within which its jobs should be done, in seconds."""
        return self._times_of("finished")

    def _times_of(self, kind: str) -> dict[str, list[float]]:
        """By class, the times of its objectives of one kind, in seconds."""
        found: dict[str, list[float]] = {}
        for objective in self.platform.deployment.objectives:
            cls, within_s = objective.cls, objective.within_s
            if objective.kind == kind and cls is not None and within_s is not None:
                found.setdefault(cls, []).append(within_s)
        return found


def load_platform(path: Path) -> Platform:
    """Read and check the platform's file.

    Raises:
        SettingsError: it cannot be read or used; the text names the field.
    """
    platform = read_platform_file(path)
    check_platform(platform)
    return platform


def load(config: Path, operator: Path | None = None) -> Settings:
    """Read and check both files; the operators' one is optional.

    Raises:
        SettingsError: one of them cannot be read or used; the text names the field.
    """
    platform = load_platform(config)
    return Settings(platform) if operator is None else Settings(platform, load_operator(operator))
