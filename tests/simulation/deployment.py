"""The simulated deployment: zones, machine types, teams, settings, and submissions that fit it."""

from typing import Any

import msgspec

import production
from sandladder.config import Settings
from sandladder.config import settings as settings_module
from sandladder.controller import controller as controller_module
from sandladder.transport import http, peer_messages

ZONES = ["north", "south"]
MACHINE_TYPES = {
    "small": {"vcpus": 4.0, "gpus": 0.0, "ram_gb": 16.0, "boot_s": 8.0, "price": 0.2},
    "large": {"vcpus": 16.0, "gpus": 2.0, "ram_gb": 64.0, "boot_s": 6.0, "price": 0.7},
}
TEAMS = [
    {"name": "red", "cpus": 16.0, "cpus_max": 48.0, "gpus": 2.0, "gpus_max": 4.0},
    {"name": "blue", "cpus": 16.0, "cpus_max": 32.0},
]


# The store's rate limit, in changes per second.
WRITE_RPS = 30.0
# Time limits of the worker protocol, in seconds.
REPORT_S = 2.0
LEASE_S = 12.0
GANG_WAIT_S = 30.0
GANG_PEER_S = 4.0
CANCEL_S = 36.0  # default of a simulation
LIST_LAG_S = 3.0
# The store's limits after an upgrade (`next` in the settings).
NEXT_LIMITS = {"write_rps": 20.0, "value_kb": 2.0, "txn_ops": 4}

# The version in the working tree; `production.load()` returns the one in production.
THIS_VERSION = production.Version(
    control=controller_module, http=http, mesh=peer_messages, settings=settings_module
)


def team_limits(large: bool) -> list[dict[str, Any]]:
    """Return the teams with their guarantees and limits; `large` multiplies them by ten."""
    factor = 10.0 if large else 1.0
    return [{k: v if k == "name" else v * factor for k, v in t.items()} for t in TEAMS]  # type: ignore[operator]


def platform_file(
    index: int = 0,
    count: int = 3,
    large: bool = False,
    cancel_s: float = CANCEL_S,
    limits: list[dict[str, Any]] | None = None,
    **state: Any,
) -> dict[str, Any]:
    """Return the contents of the settings file of one of `count` controllers.

    `large` uses ten times the teams' limits, and a lower size limit for stored values.  `state`
    overrides the store's settings.
    """
    names = [f"node-{i}" for i in range(count)]
    return {
        "node_name": names[index],
        "location": ZONES[index % 2],
        "api_addr": f"{names[index]}:80",
        "mesh_addr": f"{names[index]}:81",
        "peers": [{"node_name": n, "addr": f"{n}:81"} for n in names if n != names[index]],
        "external": {"cloud": "cloud:1", "state": "state:1"},
        "deployment": {
            "zones": ZONES,
            "teams": team_limits(large) if limits is None else limits,
            "objectives": [{"kind": "wait", "class": "web", "within_s": 1.0, "share": 0.9}],
            "workers": {
                "report_s": REPORT_S,
                "lease_s": LEASE_S,
                "cancel_s": cancel_s,
                "gang_wait_s": GANG_WAIT_S,
                "gang_peer_s": GANG_PEER_S,
            },
            "state": {
                "rps": 150.0,
                "write_rps": WRITE_RPS,
                "value_kb": 2.0 if large else 8.0,
                "txn_ops": 12,
            }
            | state,
            "cloud": {"rps": 5.0, "list_lag_s": LIST_LAG_S},
        },
    }


def settings(
    index: int = 0,
    count: int = 3,
    large: bool = False,
    version: Any = THIS_VERSION,
    cancel_s: float = CANCEL_S,
    limits: list[dict[str, Any]] | None = None,
    **state: Any,
) -> Settings:
    """Return the settings in a controller's `platform_file`, as parsed by a version."""
    raw = platform_file(index, count, large, cancel_s, limits, **state)
    module = version.settings
    parsed: Settings = module.Settings(msgspec.convert(raw, module.Platform), module.Operator())
    return parsed


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission with default fields, overridden by `fields`."""
    return {
        "id": f"job-{number:06d}",
        "docket": "batch",
        "bureau": "red",
        "form": "array",
        "rank": "normal",
        "entries": 2,
        "vcpus": 2.0,
        "gpus": 0.0,
        "ram_gb": 4.0,
        "parcel": "img-1",
        "image_gb": 1.0,
        "breeds": None,
        "district": None,
        "same_place": False,
        "apart": False,
        "loaners": True,
        "expect_s": 5.0,
        "bookmark_s": 0.0,
        "stamp_s": 0.0,
        "due_s": None,
        "awaits": None,
    } | fields
