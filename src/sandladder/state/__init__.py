"""The cluster's state: records in a consensus-backed key-value store, and a local cache of them.

`StoreClient` sends requests to the store, `StoreWatch` updates the `StateCache`, and
`GroupCommitter` batches `PendingChange`s into compare-and-swap transactions; a `Transaction`
collects the records that changes write and the versions that they expect.  `codecs` encodes each
kind of record, `keys` defines the keys, and `SchemaMigration` migrates records to this program's
schema version.

The package owns the cache, the queue of changes and this controller's shares of the store's rate
limits.  It does not decide which changes to make.  Each write names the expected version of its
key, and the cache is changed only by committed transactions.
"""

from sandladder.state.cache import StateCache
from sandladder.state.codecs.instances import INSTANCE_RECORD_BYTES, instances_value, read_instances
from sandladder.state.codecs.inventory import (
    inventory_values_v1,
    inventory_values_v2,
    read_inventory,
)
from sandladder.state.codecs.jobs import finished_job_value, job_value, read_finished_job, read_job
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
from sandladder.state.instances import change_instances, put_machine_types
from sandladder.state.inventory import inventory_changes, put_inventory
from sandladder.state.keys import (
    AUTOSCALER_KEY,
    FENCING_TOKEN_KEY,
    FINISHED_JOB_PREFIX,
    INSTANCE_PREFIX,
    INVENTORY_PREFIX,
    JOB_PREFIX,
    MACHINE_TYPES_KEY,
    ROSTER_KEY,
    SCHEMA_VERSION_KEY,
    TEAM_PREFIX,
)
from sandladder.state.pending_change import (
    PRIORITY_BACKGROUND,
    PRIORITY_JOB,
    PRIORITY_LEASE,
    PRIORITY_REQUEST,
    PRIORITY_URGENT_START,
    PendingChange,
    Priority,
    job_priority,
)
from sandladder.state.schema_changes import (
    is_store_empty,
    mark_schema_version,
    raise_schema_version,
    retire_controller,
)
from sandladder.state.schema_migration import ClusterMembers, SchemaMigration
from sandladder.state.store_client import LeaseRenewal, StoreClient
from sandladder.state.store_limits import StoreLimits
from sandladder.state.token_bucket import AdaptiveTokenBucket
from sandladder.state.transaction import Transaction
from sandladder.state.watch import StoreWatch

__all__ = [
    "AUTOSCALER_KEY",
    "FENCING_TOKEN_KEY",
    "FINISHED_JOB_PREFIX",
    "INSTANCE_PREFIX",
    "INSTANCE_RECORD_BYTES",
    "INVENTORY_PREFIX",
    "JOB_PREFIX",
    "MACHINE_TYPES_KEY",
    "PRIORITY_BACKGROUND",
    "PRIORITY_JOB",
    "PRIORITY_LEASE",
    "PRIORITY_REQUEST",
    "PRIORITY_URGENT_START",
    "ROSTER_KEY",
    "SCHEMA_VERSION_KEY",
    "TEAM_PREFIX",
    "AdaptiveTokenBucket",
    "ClusterMembers",
    "ConflictError",
    "GroupCommitter",
    "KeyChange",
    "KeyValue",
    "LeaseExpiredError",
    "LeaseRenewal",
    "PendingChange",
    "PreconditionFailedError",
    "Priority",
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
    "Transaction",
    "TransactionTooLargeError",
    "UnknownOutcomeError",
    "UnknownSchemaVersionError",
    "assignment_value",
    "change_instances",
    "finished_job_value",
    "instances_value",
    "inventory_changes",
    "inventory_values_v1",
    "inventory_values_v2",
    "is_store_empty",
    "job_priority",
    "job_value",
    "machine_number",
    "mark_schema_version",
    "put_inventory",
    "put_machine_types",
    "raise_schema_version",
    "read_finished_job",
    "read_instances",
    "read_inventory",
    "read_job",
    "read_team",
    "retire_controller",
    "schema_version_value",
    "split_value",
    "stamp_parts",
]
