"""The settings of a controller: the platform's TOML file and the operators' S-expression file.

`load` reads and checks both files and returns `Settings`, or raises `SettingsError` with the name
of the invalid field.  `platform_file` defines the platform's fields, `operator_file` the
operators', `checks` the constraints on the platform's values, and `settings` the combination of
both files and the values derived from it.

Settings are read once at startup and do not change while a controller runs.  The package reads
only these two files: neither the clock nor the environment.
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
