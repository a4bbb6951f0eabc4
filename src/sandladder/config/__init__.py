"""The settings of a controller: the platform's TOML file and the operators' S-expressions.

`load` reads and checks both and returns `Settings`; what cannot be served raises `SettingsError`
with the name of the field.  `platform_file` has the platform's fields, `operator_file` the
operators', `checks` what the platform's values must satisfy, and `settings` what follows from both.

It owns no state: settings are read once, at the start, and never change while a controller runs.
It never reads the clock, the environment, or anything but these two files.
"""

from sandladder.config.address import Address, parse_address
from sandladder.config.checks import MIN_TXN_OPS
from sandladder.config.errors import SettingsError
from sandladder.config.operator_file import Operator, parse_operator
from sandladder.config.platform_file import (
    AgentSettings,
    CloudSettings,
    Deployment,
    Objective,
    PeerAddress,
    Platform,
    ServiceAddresses,
    StoreSettings,
    TeamLimits,
)
from sandladder.config.settings import Settings, load

__all__ = [
    "MIN_TXN_OPS",
    "Address",
    "AgentSettings",
    "CloudSettings",
    "Deployment",
    "Objective",
    "Operator",
    "PeerAddress",
    "Platform",
    "ServiceAddresses",
    "Settings",
    "SettingsError",
    "StoreSettings",
    "TeamLimits",
    "load",
    "parse_address",
    "parse_operator",
]
