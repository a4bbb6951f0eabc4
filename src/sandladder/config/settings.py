"""The settings: the platform's TOML file and the operators' own S-expressions.

The platform's file may carry fields we do not know; they are ignored.  The operators'
file is ours, so an unknown key there is a mistake and is refused.
"""

import tomllib
from math import isfinite
from pathlib import Path
from typing import Any

import msgspec
import sexpdata

# What the smallest state service that can be served takes.
LEAST_TXN_OPS, LEAST_VALUE_KB = 4, 2.0


class SettingsError(Exception):
    """A settings file that cannot be used; the text names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller, as the mesh reaches it."""

    node_name: str
    addr: str
    location: str = ""


class External(msgspec.Struct, frozen=True):
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
    """An aim of the users for a class of jobs, or for all of them."""

    kind: str
    cls: str | None = None
    within_s: float | None = None
    share: float = 0.9
    times: float = 1.0


# The kinds of aims that the users state; those for a whole service are met by design alone.
AIMS = {"wait", "finished", "deadline", "guarantee", "up", "submit", "useful", "price", "rules"}
AIMS |= {"node_restarts"}


class WorkerSettings(msgspec.Struct, frozen=True):
    """How workers behave in time."""

    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 40.0
    gang_peer_s: float = 5.0

    @property
    def knowledge_s(self) -> float:
        """How old a controller's knowledge of cancellations may be when it answers a report.

        Less the drift of two clocks and the step in which a worker notices its lease's end.
        """
        return 0.998 * self.cancel_s - self.lease_s - self.report_s / 4


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have some day; what is absent stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    @property
    def value_bytes(self) -> float:
        return self.value_kb * 1024

    def least(self) -> "State":
        """The smaller of today's limits and those that may begin without notice."""
        if self.next is None:
            return self
        coming = msgspec.structs.asdict(self.next)
        smaller = {
            name: min(value, getattr(self, name))
            for name, value in coming.items()
            if value is not None
        }
        return msgspec.structs.replace(self, **smaller, next=None)


class Cloud(msgspec.Struct, frozen=True):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float


class Quota(msgspec.Struct, frozen=True):
    """What one controller process may use."""

    cpu: float = 1.0
    memory_mb: float = 256.0
    max_sockets: int = 1000


class Deployment(msgspec.Struct, frozen=True):
    """The figures that all controllers share."""

    zones: list[str]
    workers: WorkerSettings
    state: State
    cloud: Cloud
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    skew_ms: float = 1000.0
    quota: Quota = Quota()


class Platform(msgspec.Struct, frozen=True):
    """The platform's file for one controller."""

    node_name: str
    location: str
    api_addr: str
    mesh_addr: str
    external: External
    deployment: Deployment
    peers: list[Peer] = []


class Operator(msgspec.Struct, frozen=True, rename="kebab"):
    """The operators' own settings; each is a ratio to a figure of the platform's file."""

    # How long a controller's hold lasts, in worker leases: longer than an ordinary
    # outage of the state service, so that such an outage ends no worker's lease.
    hold_leases: float = 2.0
    # How often a controller writes its room summary, in worker report intervals.
    summary_reports: float = 1.0
    # Machines sampled for a task before the sample grows.
    sample: int = 4
    # How long an idle machine is kept, in boot times of its type.
    idle_boots: float = 1.0
    # Room kept ready for work that must start before a machine could boot, in typical
    # jobs of each such class.
    spare_jobs: float = 1.0
    # Silence after which an unreachable machine is returned, in worker leases.
    silent_leases: float = 0.35


class Settings(msgspec.Struct, frozen=True):
    """Everything a controller is told."""

    platform: Platform
    operator: Operator = Operator()

    @property
    def node(self) -> str:
        return self.platform.node_name

    @property
    def unknown_aims(self) -> list[str]:
        """The kinds of aims that mean nothing to us."""
        return sorted({aim.kind for aim in self.platform.deployment.objectives} - AIMS)

    @property
    def waits(self) -> dict[str, float]:
        """By class, the shortest time within which its tasks should start."""
        found: dict[str, float] = {}
        for aim in self.platform.deployment.objectives:
            if aim.kind == "wait" and aim.cls is not None and aim.within_s is not None:
                found[aim.cls] = min(aim.within_s, found.get(aim.cls, aim.within_s))
        return found

    @property
    def finishes(self) -> dict[str, list[float]]:
        """By class, the times within which its jobs should be done."""
        found: dict[str, list[float]] = {}
        for aim in self.platform.deployment.objectives:
            if aim.kind == "finished" and aim.cls is not None and aim.within_s is not None:
                found.setdefault(aim.cls, []).append(aim.within_s)
        return found

    @property
    def node_names(self) -> list[str]:
        return sorted([self.node, *(peer.node_name for peer in self.platform.peers)])


def split_addr(addr: str) -> tuple[str, int]:
    """Split `host:port`; raises ValueError when it is not that."""
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {addr!r}")
    return host, int(port)


def _positive(name: str, value: float) -> None:
    if not isfinite(value) or value <= 0:
        raise SettingsError(f"{name}: must be above 0, not {value}")


def _check(platform: Platform) -> None:
    d = platform.deployment
    for name, addr in (
        ("api_addr", platform.api_addr),
        ("mesh_addr", platform.mesh_addr),
        ("external.cloud", platform.external.cloud),
        ("external.state", platform.external.state),
        *((f"peers.{p.node_name}.addr", p.addr) for p in platform.peers),
    ):
        try:
            split_addr(addr)
        except ValueError as error:
            raise SettingsError(f"{name}: {error}") from None
    for group, names in (
        (d.workers, ("report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s")),
        (d.state, ("rps", "write_rps", "value_kb")),
        (d.state.next, ("rps", "write_rps", "value_kb")),
        (d.cloud, ("rps",)),
        (d.quota, ("cpu", "memory_mb", "max_sockets")),
    ):
        section = {"NextState": "state.next"}.get(
            type(group).__name__, type(group).__name__.lower()
        )
        for name in names:
            if (value := getattr(group, name, None)) is not None:
                _positive(f"deployment.{section}.{name}", value)
    if d.workers.knowledge_s < d.workers.report_s / 2:
        # Nobody could answer a worker: it might run what was cancelled since, for too long.
        raise SettingsError(
            "deployment.workers.cancel_s: leaves no time beyond deployment.workers.lease_s to "
            "learn of a cancellation: must be more than lease_s and three quarters of report_s"
        )
    for name, limits in (("state", d.state), ("state.next", d.state.next)):
        if limits is None:
            continue
        if limits.txn_ops is not None and limits.txn_ops < LEAST_TXN_OPS:
            # The end of a job whose record takes three values: those go, its outcome comes.
            raise SettingsError(f"deployment.{name}.txn_ops: must be at least {LEAST_TXN_OPS}")
        if limits.value_kb is not None and limits.value_kb < LEAST_VALUE_KB:
            raise SettingsError(
                f"deployment.{name}.value_kb: must be at least {LEAST_VALUE_KB:g} "
                "to hold a job's start"
            )
    nodes = [platform.node_name, *(p.node_name for p in platform.peers)]
    if len(set(nodes)) != len(nodes):
        raise SettingsError("peers: node names must differ")
    for index, team in enumerate(d.teams):
        _check_team(f"deployment.teams[{index}]", team)
    if len({t.name for t in d.teams}) != len(d.teams):
        raise SettingsError("deployment.teams: names must differ")


def _check_team(where: str, team: TeamLimits) -> None:
    """A team's amounts are not negative, and no guarantee is over its limit."""
    for resource in ("cpus", "gpus"):
        guarantee, limit = getattr(team, resource), getattr(team, f"{resource}_max")
        for name, amount in ((resource, guarantee), (f"{resource}_max", limit)):
            if not isfinite(amount) or amount < 0:
                raise SettingsError(f"{where}.{name}: must be 0 (none) or more")
        if limit and guarantee > limit:
            raise SettingsError(f"{where}.{resource}: the guarantee is over {resource}_max")


def load_platform(path: Path) -> Platform:
    """Read and check the platform's file."""
    try:
        with path.open("rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    deployment = raw.get("deployment")
    if isinstance(deployment, dict) and "quota" in raw:
        deployment.setdefault("quota", raw["quota"])
    try:
        platform = msgspec.convert(raw, Platform, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    _check(platform)
    return platform


def parse_operator(text: str) -> Operator:
    """Read the operators' settings: one list of `(key value)` pairs after a head symbol."""
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # sexpdata raises its own kinds and plain ones
        raise SettingsError(f"operator settings: {error}") from None
    head = isinstance(tree, list) and tree and isinstance(tree[0], sexpdata.Symbol)
    if not head or tree[0].value() != "sandladder":
        raise SettingsError("operator settings: must be one list that starts with sandladder")
    values: dict[str, Any] = {}
    known = {field.encode_name for field in msgspec.structs.fields(Operator)}
    for pair in tree[1:]:
        if not isinstance(pair, list) or len(pair) != 2 or not isinstance(pair[0], sexpdata.Symbol):
            raise SettingsError(f"operator settings: not a (key value) pair: {pair!r}")
        key = pair[0].value()
        if key not in known:
            raise SettingsError(f"operator settings: unknown key {key}")
        if key in values:
            raise SettingsError(f"operator settings: {key} is given twice")
        values[key] = pair[1]
    try:
        operator = msgspec.convert(values, Operator)
    except msgspec.ValidationError as error:
        raise SettingsError(f"operator settings: {error}") from None
    for field in msgspec.structs.fields(Operator):
        value = getattr(operator, field.name)
        if not isfinite(value) or value < 0 or (value == 0 and field.name != "spare_jobs"):
            raise SettingsError(f"operator settings: {field.encode_name}: must be above 0")
    if operator.hold_leases < 0.5:
        raise SettingsError("operator settings: hold-leases: must be at least 0.5")
    return operator


def load(config: Path, operator: Path | None = None) -> Settings:
    """Read both files; the operators' one is optional."""
    platform = load_platform(config)
    if operator is None:
        return Settings(platform)
    try:
        text = operator.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{operator}: {error}") from None
    return Settings(platform, parse_operator(text))
