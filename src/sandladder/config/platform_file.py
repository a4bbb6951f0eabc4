"""The platform's TOML file: its fields, in the names that the platform gives them.

The file may carry fields that are not listed here; they are ignored.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from sandladder.config.errors import SettingsError

# The clocks of an agent and a controller together drift by less than this share of a duration.
_DRIFT_SHARE = 0.002


class PeerAddress(msgspec.Struct, frozen=True):
    """Another controller, and where messages between controllers reach it."""

    node_name: str
    addr: str
    location: str = ""


class ServiceAddresses(msgspec.Struct, frozen=True):
    """Addresses of the services that the platform runs."""

    cloud: str
    state: str


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's guarantees and limits (`_max`); 0 means that it has none in that resource."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A service-level objective for a class of jobs, or for all jobs."""

    kind: str
    cls: str | None = None
    within_s: float | None = None
    share: float = 0.9
    times: float = 1.0


class AgentSettings(msgspec.Struct, frozen=True):
    """How agents behave in time; all in seconds."""

    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 40.0
    gang_peer_s: float = 5.0

    @property
    def cancellation_knowledge_age_s(self) -> float:
        """How old a controller's knowledge of cancellations may be when it answers a heartbeat.

        A task that was cancelled unknown to it is gone in time if the agent's lease, renewed by
        that answer, expires within `cancel_s`: less the drift of two clocks, and the step in which
        an agent notices that its lease has expired.
        """
        return (1 - _DRIFT_SHARE) * self.cancel_s - self.lease_s - self.report_s / 4


class FutureStoreLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have some day; what is absent stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreSettings(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and changes a second, KiB a value, changes at once."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: FutureStoreLimits | None = None

    @property
    def value_bytes(self) -> float:
        """The largest value, in bytes."""
        return self.value_kb * 1024

    def strictest(self) -> "StoreSettings":
        """The smaller of today's limits and those that may begin without notice."""
        if self.next is None:
            return self
        future = msgspec.structs.asdict(self.next)
        smaller = {
            name: min(value, getattr(self, name))
            for name, value in future.items()
            if value is not None
        }
        return msgspec.structs.replace(self, **smaller, next=None)


class CloudSettings(msgspec.Struct, frozen=True):
    """Limits of the cloud: requests a second, and by how much its list lags, in seconds."""

    rps: float
    list_lag_s: float


class ProcessQuota(msgspec.Struct, frozen=True):
    """What one controller process may use."""

    cpu: float = 1.0
    memory_mb: float = 256.0
    max_sockets: int = 1000


class Deployment(msgspec.Struct, frozen=True):
    """The figures that all controllers share."""

    zones: list[str]
    workers: AgentSettings
    state: StoreSettings
    cloud: CloudSettings
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    skew_ms: float = 1000.0
    quota: ProcessQuota = ProcessQuota()


class Platform(msgspec.Struct, frozen=True):
    """The platform's file for one controller."""

    node_name: str
    location: str
    api_addr: str
    mesh_addr: str
    external: ServiceAddresses
    deployment: Deployment
    peers: list[PeerAddress] = []


def read_platform_file(path: Path) -> Platform:
    """Read the platform's file; the values of its fields are not checked yet.

    Raises:
        SettingsError: it cannot be read, is no TOML, or a field is missing or of another type.
    """
    raw = _read_toml(path)
    deployment = raw.get("deployment")
    if isinstance(deployment, dict) and "quota" in raw:
        deployment.setdefault("quota", raw["quota"])
    try:
        return msgspec.convert(raw, Platform, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(str(path), str(error)) from None


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise SettingsError(str(path), str(error.strerror)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error)) from None
