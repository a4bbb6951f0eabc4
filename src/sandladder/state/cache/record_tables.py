"""The decoded records of all kinds."""

from collections.abc import Callable
from typing import Any

from sandladder.model import SCHEMA_V1, MachineType, Member, TeamAssignment, TeamUsage
from sandladder.state.cache.instances import Instances
from sandladder.state.cache.inventories import Inventories
from sandladder.state.cache.job_tables import JobTables
from sandladder.state.codecs.instances import read_types
from sandladder.state.codecs.membership import read_roster, read_supported_versions
from sandladder.state.codecs.schema import read_schema_version
from sandladder.state.codecs.teams import read_team
from sandladder.state.keys import (
    AUTOSCALER_KEY,
    FENCING_TOKEN_KEY,
    INSTANCE_PREFIX,
    INVENTORY_PREFIX,
    JOB_PREFIX,
    MACHINE_TYPES_KEY,
    PREFIX_LENGTH,
    ROSTER_KEY,
    SCHEMA_VERSION_KEY,
    SUPPORTED_VERSIONS_KEY,
    TEAM_PREFIX,
    last_component,
)


class RecordTables(JobTables):
    """The records of jobs, teams, controllers and machines.

    Attributes:
        schema_version: the schema version of the records.
        supported_versions: by controller, the newest schema version that it has recorded as
            supported.
        versions: the version of each key, except those of archived jobs.
        teams: by team, its usage as schema version 1 records it.
        assignments: by team, its assignment in schema version 2.
        roster: the roster's members by controller.
        machine_types: the cloud's machine types by name.
        autoscaler_node: the controller that runs the autoscaler, if any.
        fencing_token: the last fencing token that was issued.
        inventories: the latest complete inventory of each controller.
        instances: the cloud instances by name.
        instance_chunks: by chunk, the names of its instances.
    """

    def __init__(self) -> None:
        super().__init__()
        self.schema_version = SCHEMA_V1
        self.supported_versions: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.teams: dict[str, TeamUsage] = {}
        self.assignments: dict[str, TeamAssignment] = {}
        self.roster: dict[str, Member] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.autoscaler_node: str | None = None
        self.fencing_token = 0
        self._inventories = Inventories()
        self._instances = Instances()
        # Their dictionaries are shared to avoid a call on each access.
        self.inventories = self._inventories.by_node
        self.instances = self._instances.by_name
        self.instance_chunks = self._instances.chunks
        # Decoders of the records: by key for single records, by prefix for the others.
        self._single_readers: dict[str, Callable[[Any], None]] = {
            SCHEMA_VERSION_KEY: self._read_schema_version,
            SUPPORTED_VERSIONS_KEY: self._read_supported_versions,
            ROSTER_KEY: self._read_roster,
            FENCING_TOKEN_KEY: self._read_fencing_token,
            AUTOSCALER_KEY: self._read_autoscaler_node,
            MACHINE_TYPES_KEY: self._read_types,
        }
        self._prefix_readers: dict[str, Callable[[str, Any], None]] = {
            JOB_PREFIX: self._read_job,
            TEAM_PREFIX: self._read_team,
            INVENTORY_PREFIX: self._read_inventory_part,
            INSTANCE_PREFIX: self._read_instances,
        }

    def version(self, key: str) -> int:
        """Return the version of a key, or 0 if the key does not exist."""
        return self.versions.get(key, 0)

    def _read(self, key: str, value: Any) -> None:
        """Decode a record; None is a deleted record.  Unknown keys are ignored.

        A malformed record raises its decoding error.
        """
        read_single = self._single_readers.get(key)
        if read_single is not None:
            read_single(value)
            return
        read = self._prefix_readers.get(key[:PREFIX_LENGTH])
        if read is not None:
            read(key, value)

    def _read_schema_version(self, value: Any) -> None:
        self.schema_version = SCHEMA_V1 if value is None else read_schema_version(value)

    def _read_supported_versions(self, value: Any) -> None:
        self.supported_versions = read_supported_versions(value)

    def _read_roster(self, value: Any) -> None:
        self.roster = read_roster(value)

    def _read_fencing_token(self, value: Any) -> None:
        self.fencing_token = int(value or 0)

    def _read_autoscaler_node(self, value: Any) -> None:
        self.autoscaler_node = value

    def _read_types(self, value: Any) -> None:
        self.machine_types = read_types(value)

    def _read_inventory_part(self, key: str, value: Any) -> None:
        node, _, part = key[len(INVENTORY_PREFIX) :].partition("/")
        self._inventories.set_part(node, int(part or 0), value)

    def _read_instances(self, key: str, value: Any) -> None:
        self._instances.set_chunk(int(last_component(key)), value)

    def _read_team(self, key: str, value: Any) -> None:
        name = last_component(key)
        team = TeamUsage() if value is None else read_team(value)
        self.teams.pop(name, None)
        self.assignments.pop(name, None)
        if isinstance(team, TeamAssignment):
            self.assignments[name] = team
        elif value is not None:
            self.teams[name] = team

    def _read_job(self, key: str, value: Any) -> None:
        self.set_job_record(last_component(key), value, self.version(key))
