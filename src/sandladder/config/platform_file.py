"""The platform's TOML settings file.

Fields are named as in the file.  Fields that are not defined here are ignored.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from sandladder.config.errors import SettingsError

# An upper bound on the relative drift between the clocks of an agent and a controller.
_MAX_CLOCK_DRIFT = 0.002


class PeerAddress(msgspec.Struct, frozen=True):
    """Another controller, and its address for messages between controllers."""

    node_name: str
    addr: str
    location: str = ""


class ServiceAddresses(msgspec.Struct, frozen=True):
    """Addresses of the platform's services."""

    cloud: str
    state: str


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's guarantees and limits (`_max`); 0 means none for that resource."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A service-level objective.

    Attributes:
        kind: the kind of objective (`OBJECTIVE_KINDS`).
        cls: the class of jobs; None: all jobs.
        within_s: the time limit, in seconds.
        share: not used by sandladder.
        times: not used by sandladder.
    """

    kind: str
    cls: str | None = None
    within_s: float | None = None
    share: float = 0.9
    times: float = 1.0


class AgentSettings(msgspec.Struct, frozen=True):
    """Intervals and timeouts of agents, in seconds.

    Attributes:
        report_s: the heartbeat interval.
        lease_s: the duration of an agent's lease.
        cancel_s: the maximum time from the confirmation of a cancellation to the end of all tasks.
        gang_wait_s: the time for which a task waits for the others of its gang; used by agents.
        gang_peer_s: a timeout between the tasks of a gang; used by agents.
    """

    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 40.0
    gang_peer_s: float = 5.0

    @property
    def cancellation_knowledge_age_s(self) -> float:
        """The maximum age of a controller's knowledge of cancellations when it renews a lease.

        Even if the controller does not know a cancellation, the agent's lease expires, and the task
        ends, within `cancel_s`.  The result allows for clock drift and for the delay with which an
        agent detects its lease expiry.
        """
        return (1 - _MAX_CLOCK_DRIFT) * self.cancel_s - self.lease_s - self.report_s / 4


class FutureStoreLimits(msgspec.Struct, frozen=True):
    """Limits of the key-value store that may replace today's; absent ones stay unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreSettings(msgspec.Struct, frozen=True):
    """Limits of the key-value store.

    Attributes:
        rps: requests per second.
        write_rps: writes per second.
        value_kb: the largest value, in KiB.
        txn_ops: operations per transaction.
        next: limits that may take effect at any time; None if there are none.
    """

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
        """Return the smaller of the current limits and those that may replace them."""
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
    """Limits of the cloud.

    Attributes:
        rps: requests per second.
        list_lag_s: the staleness of the machine list, in seconds.
    """

    rps: float
    list_lag_s: float


class ProcessQuota(msgspec.Struct, frozen=True):
    """Resource limits of one controller process."""

    cpu: float = 1.0
    memory_mb: float = 256.0
    max_sockets: int = 1000


class Deployment(msgspec.Struct, frozen=True):
    """The settings that all controllers share."""

    zones: list[str]
    workers: AgentSettings
    state: StoreSettings
    cloud: CloudSettings
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    skew_ms: float = 1000.0
    quota: ProcessQuota = ProcessQuota()


class Platform(msgspec.Struct, frozen=True):
    """The contents of the platform's file for one controller."""

    node_name: str
    location: str
    api_addr: str
    mesh_addr: str
    external: ServiceAddresses
    deployment: Deployment
    peers: list[PeerAddress] = []


def read_platform_file(path: Path) -> Platform:
    """Read the platform's file without checking the values of its fields.

    Raises:
        SettingsError: the file cannot be read or is not TOML, or a field is missing or has the
            wrong type.
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
