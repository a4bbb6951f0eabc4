"""Transactions that migrate the records to a new schema version.

See docs/upgrading.md.  Pure, except for `retire_controller`.
"""

from sandladder.model import SCHEMA_V1, SCHEMA_V2
from sandladder.protocol import store_messages
from sandladder.state.cache import StateCache
from sandladder.state.codecs.instances import instances_value
from sandladder.state.codecs.schema import schema_version_value
from sandladder.state.entries import KeyChange, StoredValue
from sandladder.state.errors import ConflictError, PreconditionFailedError
from sandladder.state.keys import (
    FENCING_TOKEN_KEY,
    INSTANCE_PREFIX,
    INVENTORY_PREFIX,
    JOB_PREFIX,
    MACHINE_TYPES_KEY,
    SCHEMA_VERSION_KEY,
    SUPPORTED_VERSIONS_KEY,
    last_component,
)
from sandladder.state.store_client import StoreClient
from sandladder.state.transaction import Transaction


def is_store_empty(cache: StateCache) -> bool:
    """Return whether no controller has written to the store yet.

    The first records of a new store are the fencing token and the machine types.
    """
    return (
        not cache.version(FENCING_TOKEN_KEY)
        and not cache.version(MACHINE_TYPES_KEY)
        and not cache.jobs
    )


def mark_schema_version(transaction: Transaction, node: str, schema_version: int | None) -> bool:
    """Record the newest schema version that a controller supports.

    Args:
        transaction: the transaction to add to.
        node: the controller.
        schema_version: the version, or None to remove the controller's record.

    Returns:
        False if the record is up to date.
    """
    supported = dict(transaction.cache.supported_versions)
    if schema_version is None:
        supported.pop(node, None)
    else:
        supported[node] = schema_version
    if supported == transaction.cache.supported_versions:
        return False
    version = transaction.cache.version(SUPPORTED_VERSIONS_KEY)
    transaction.put(SUPPORTED_VERSIONS_KEY, supported, version)
    return True


def raise_schema_version(transaction: Transaction, nodes: list[str]) -> bool:
    """Raise the schema version of the records to this program's.

    Every controller must be known to support it: by its record of supported versions, and by its
    inventory if it runs.  The transaction expects the versions of all inventories, so that it
    conflicts if a controller starts with an older program meanwhile.  It also raises the fencing
    token, so that a controller which has read the older records must read them again before it can
    acquire its lease.

    Args:
        transaction: the transaction to add to.
        nodes: all controllers.

    Returns:
        False if the records have that version.

    Raises:
        PreconditionFailedError: a controller is not known to support it.
    """
    cache = transaction.cache
    if cache.schema_version >= SCHEMA_V2:
        return False
    for node in nodes:
        inventory = cache.inventories.get(node)
        supported = cache.supported_versions.get(node, SCHEMA_V1)
        if supported < SCHEMA_V2 or node in cache.unreadable_nodes:
            raise PreconditionFailedError(f"{node} is not known to support the schema version")
        if inventory is not None and inventory.schema_version < SCHEMA_V2:
            raise PreconditionFailedError(f"{node} runs an older version")
        transaction.expected_versions[INVENTORY_PREFIX + node] = cache.version(
            INVENTORY_PREFIX + node
        )
    version = cache.version(SUPPORTED_VERSIONS_KEY)
    transaction.expected_versions[SUPPORTED_VERSIONS_KEY] = version
    transaction.put(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 0)
    transaction.put(FENCING_TOKEN_KEY, cache.fencing_token + 1, cache.version(FENCING_TOKEN_KEY))
    return True


def rewrite_schema_version(transaction: Transaction) -> bool:
    """Write the record of the schema version again, unchanged."""
    transaction.put(
        SCHEMA_VERSION_KEY,
        schema_version_value(SCHEMA_V2),
        transaction.cache.version(SCHEMA_VERSION_KEY),
    )
    return True


def rewrite_record(transaction: Transaction, key: str) -> bool:
    """Write a job's or an instance record again, unchanged, within the limits in force.

    Returns:
        False if the record no longer exists.
    """
    cache = transaction.cache
    name = last_component(key)
    if key.startswith(JOB_PREFIX):
        return transaction.job(name) is not None
    if key.startswith(INSTANCE_PREFIX) and int(name) in cache.instance_chunks:
        machines = {
            machine: cache.instances[machine] for machine in cache.instance_chunks[int(name)]
        }
        transaction.put(key, instances_value(machines), cache.version(key))
        return True
    return False


async def retire_controller(store: StoreClient, node: str) -> str | None:
    """Record a removed controller as supporting the new schema version, so that it blocks nothing.

    It must not be running: the transaction expects its inventory, which expires with its lease, to
    be absent.

    Returns:
        None if that is committed; otherwise the reason why not, for the operator.

    Raises:
        StoreRequestError: the store did not respond or did not apply the transaction.
        UnknownOutcomeError: the transaction may have been applied.
    """
    if await store.get(INVENTORY_PREFIX + node) is not None:
        return f"{node} is running: it records the schema version that it supports itself"
    stored = await store.get(SUPPORTED_VERSIONS_KEY)
    supported, version = stored or StoredValue({}, 0)
    change = KeyChange(SUPPORTED_VERSIONS_KEY, {**supported, node: SCHEMA_V2})
    body = store_messages.commit_body(
        [(INVENTORY_PREFIX + node, 0), (SUPPORTED_VERSIONS_KEY, version)], [change], []
    )
    try:
        await store.commit(body, 1)
    except ConflictError as conflict:
        return f"the records changed meanwhile ({conflict}): try again"
    return None
