"""The settings: the platform's TOML file and the operators' own file, checked."""

from sandladder.config.settings import (
    LEAST_TXN_OPS,
    Cloud,
    Deployment,
    External,
    Objective,
    Peer,
    Platform,
    Settings,
    SettingsError,
    State,
    TeamLimits,
    WorkerSettings,
    load,
    parse_operator,
    split_addr,
)

__all__ = [
    "Cloud",
    "Deployment",
    "External",
    "LEAST_TXN_OPS",
    "Objective",
    "Peer",
    "Platform",
    "Settings",
    "SettingsError",
    "State",
    "TeamLimits",
    "WorkerSettings",
    "load",
    "parse_operator",
    "split_addr",
]
