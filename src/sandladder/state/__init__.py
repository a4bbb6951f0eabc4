"""The cluster's state: records in a consensus-backed key-value store, and this controller's copy.

`StoreClient` talks to the store, `StoreWatch` keeps the `StateCache` current, and `GroupCommitter`
joins `PendingChange`s into compare-and-swap transactions; a `Transaction` collects the records that
a change writes and the versions that it relies on.  `codecs` encodes each kind of record, `keys`
spells the keys, and `SchemaMigration` brings old records to this program's schema version.

The package owns the copy of the records, the queue of changes and the shares of the store's rate
limits.  It never decides what is to be changed, never writes a key without naming the version that
it expects, and never changes the copy but by what the store has committed.
"""

from sandladder.state.cache import StateCache
from sandladder.state.codecs.instances import INSTANCE_RECORD_BYTES, instances_value, read_instances
from sandladder.state.codecs.inventory import fold_inventory, pack_inventory, unpack_inventory
from sandladder.state.codecs.jobs import finished_job_value, job_value, load_job, read_finished_job
from sandladder.state.codecs.machine_names import machine_number
from sandladder.state.codecs.schema import schema_version_value
from sandladder.state.codecs.split_values import split_value, stamp_parts
from sandladder.state.codecs.teams import assignment_value, read_team
from sandladder.state.entries import KeyChange, KeyValue, StoredEntries, StoredEntry, StoredValue
from sandladder.state.errors import (
    ConflictError,
    LeaseExpiredError,
    PreconditionFailedError,
    StoreRequestError,
    StoreUnavailableError,
    TransactionTooLargeError,
    UnknownOutcomeError,
    UnknownSchemaVersionError,
)
from sandladder.state.group_commit import GroupCommitter
from sandladder.state.instances import change_instances, put_types
from sandladder.state.inventory import inventory_changes, put_inventory
from sandladder.state.keys import (
    FINAL,
    INSTANCE,
    JOB,
    NODE,
    RENTER,
    ROSTER,
    SCHEMA_VERSION_KEY,
    TEAM,
    TERM,
    TYPES,
)
from sandladder.state.pending_change import (
    P_HOLD,
    P_IDLE,
    P_START,
    P_USER,
    P_WORK,
    PendingChange,
    Priority,
    work_priority,
)
from sandladder.state.schema_changes import fresh, mark_schema_version, raise_schema_version, retire
from sandladder.state.schema_migration import ClusterMembers, SchemaMigration
from sandladder.state.store_client import LeaseRenewal, StoreClient
from sandladder.state.store_limits import StoreLimits
from sandladder.state.token_bucket import AdaptiveTokenBucket
from sandladder.state.transaction import Transaction
from sandladder.state.watch import StoreWatch

__all__ = [
    "AdaptiveTokenBucket",
    "ClusterMembers",
    "ConflictError",
    "FINAL",
    "GroupCommitter",
    "INSTANCE",
    "INSTANCE_RECORD_BYTES",
    "JOB",
    "KeyChange",
    "KeyValue",
    "LeaseExpiredError",
    "LeaseRenewal",
    "NODE",
    "P_HOLD",
    "P_IDLE",
    "P_START",
    "P_USER",
    "P_WORK",
    "PendingChange",
    "PreconditionFailedError",
    "Priority",
    "RENTER",
    "ROSTER",
    "SCHEMA_VERSION_KEY",
    "SchemaMigration",
    "StateCache",
    "StoreClient",
    "StoreLimits",
    "StoreRequestError",
    "StoreUnavailableError",
    "StoreWatch",
    "StoredEntries",
    "StoredEntry",
    "StoredValue",
    "TEAM",
    "TERM",
    "TYPES",
    "Transaction",
    "TransactionTooLargeError",
    "UnknownOutcomeError",
    "UnknownSchemaVersionError",
    "assignment_value",
    "change_instances",
    "finished_job_value",
    "fold_inventory",
    "fresh",
    "instances_value",
    "inventory_changes",
    "job_value",
    "load_job",
    "machine_number",
    "mark_schema_version",
    "pack_inventory",
    "put_inventory",
    "put_types",
    "raise_schema_version",
    "read_finished_job",
    "read_instances",
    "read_team",
    "retire",
    "schema_version_value",
    "split_value",
    "stamp_parts",
    "unpack_inventory",
    "work_priority",
]
