"""Checks of the platform's settings, which reject unusable values at startup."""

from collections.abc import Iterator
from math import isfinite

from sandladder.config.address import parse_address
from sandladder.config.errors import SettingsError
from sandladder.config.platform_file import (
    AgentSettings,
    Deployment,
    FutureStoreLimits,
    Platform,
    StoreSettings,
    TeamLimits,
)

# Minimum limits of the key-value store: operations of a transaction (three deletions and one put
# finish a job whose record spans three values), and KiB of a value (to hold a job's start).
MIN_TXN_OPS, MIN_VALUE_KB = 4, 2.0

_STORE_RATES = ("rps", "write_rps", "value_kb")


def check_platform(platform: Platform) -> None:
    """Check the values of the platform's fields.

    Raises:
        SettingsError: a value is invalid; names the first such field as in the file.
    """
    deployment = platform.deployment
    _check_addresses(platform)
    _check_amounts(deployment)
    _check_cancellation_time(deployment.workers)
    _check_store_limits("deployment.state", deployment.state)
    if deployment.state.next is not None:
        _check_store_limits("deployment.state.next", deployment.state.next)
    nodes = [platform.node_name, *(peer.node_name for peer in platform.peers)]
    if len(set(nodes)) != len(nodes):
        raise SettingsError("peers", "node names must differ")
    for index, team in enumerate(deployment.teams):
        _check_team(f"deployment.teams[{index}]", team)
    if len({team.name for team in deployment.teams}) != len(deployment.teams):
        raise SettingsError("deployment.teams", "names must differ")


def _addresses(platform: Platform) -> Iterator[tuple[str, str]]:
    """Yield the name and value of each field that holds an address."""
    yield "api_addr", platform.api_addr
    yield "mesh_addr", platform.mesh_addr
    yield "external.cloud", platform.external.cloud
    yield "external.state", platform.external.state
    for peer in platform.peers:
        yield f"peers.{peer.node_name}.addr", peer.addr


def _check_addresses(platform: Platform) -> None:
    for field, addr in _addresses(platform):
        try:
            parse_address(addr)
        except ValueError as error:
            raise SettingsError(field, str(error)) from None


def _check_amounts(deployment: Deployment) -> None:
    """Check that the given durations, rates and sizes are finite and above 0."""
    times = ("report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s")
    for section, group, names in (
        ("workers", deployment.workers, times),
        ("state", deployment.state, _STORE_RATES),
        ("state.next", deployment.state.next, _STORE_RATES),
        ("cloud", deployment.cloud, ("rps",)),
        ("quota", deployment.quota, ("cpu", "memory_mb", "max_sockets")),
    ):
        for name in names:
            value = getattr(group, name, None)
            if value is not None and (not isfinite(value) or value <= 0):
                raise SettingsError(f"deployment.{section}.{name}", f"must be above 0, not {value}")


def _check_cancellation_time(workers: AgentSettings) -> None:
    """Check that `cancel_s` leaves enough time to answer heartbeats.

    Otherwise the lease renewal guard would suspend renewals less than half a heartbeat interval
    after each store read.
    """
    if workers.cancellation_knowledge_age_s < workers.report_s / 2:
        raise SettingsError(
            "deployment.workers.cancel_s",
            "leaves no time beyond deployment.workers.lease_s to learn of a cancellation: "
            "must exceed lease_s plus three quarters of report_s",
        )


def _check_store_limits(section: str, limits: StoreSettings | FutureStoreLimits) -> None:
    """Check that the store's limits suffice for the largest transaction and value."""
    if limits.txn_ops is not None and limits.txn_ops < MIN_TXN_OPS:
        raise SettingsError(f"{section}.txn_ops", f"must be at least {MIN_TXN_OPS}")
    if limits.value_kb is not None and limits.value_kb < MIN_VALUE_KB:
        raise SettingsError(
            f"{section}.value_kb", f"must be at least {MIN_VALUE_KB:g} to hold a job's start"
        )


def _check_team(section: str, team: TeamLimits) -> None:
    """Check that a team's amounts are not negative and no guarantee exceeds its limit."""
    for resource in ("cpus", "gpus"):
        guarantee, limit = getattr(team, resource), getattr(team, f"{resource}_max")
        for name, amount in ((resource, guarantee), (f"{resource}_max", limit)):
            if not isfinite(amount) or amount < 0:
                raise SettingsError(f"{section}.{name}", "must be 0 (none) or more")
        if limit and guarantee > limit:
            raise SettingsError(f"{section}.{resource}", f"the guarantee exceeds {resource}_max")
