"""The keys under which records stand in the key-value store.

The spelling of the keys is part of the stored schema and is shared with the version in production;
`docs/upgrading.md` says who reads which record.
"""

KEY_ROOT = "s/"

# Prefixes of records of which there are many, by what follows the prefix.
JOB_PREFIX = "s/j/"  # a live job, or one that is finished and not archived yet; by job
FINISHED_JOB_PREFIX = "s/f/"  # an archived finished job; by job
TEAM_PREFIX = "s/t/"  # a team's usage (schema version 1) or assignment (version 2); by team
INVENTORY_PREFIX = "s/p/"  # a controller's machine inventory, under its lease; by controller
INSTANCE_PREFIX = "s/v/"  # instances that the cloud runs for the cluster; by number of the chunk
SUPPORT_PREFIX = "s/n/"  # which schema versions controllers support
CONTINUATION_PREFIX = "s/x/"  # all parts but the first of records that are split
MEMBERSHIP_PREFIX = "s/m/"  # written in schema version 2 only

# The prefixes above have one length, so that a key's kind is a slice of it.
PREFIX_LENGTH = 4

# Single records.
SCHEMA_VERSION_KEY = JOB_PREFIX + "form"
SUPPORTED_VERSIONS_KEY = SUPPORT_PREFIX + "forms"
ROSTER_KEY = MEMBERSHIP_PREFIX + "roster"
FENCING_TOKEN_KEY = "s/term"  # the last fencing token that was given out
AUTOSCALER_KEY = "s/renter"  # the controller that runs the autoscaler
MACHINE_TYPES_KEY = "s/types"  # the machine types that the cloud offers

# What a controller reads at its start: everything but the archived jobs.
STARTUP_PREFIXES = (
    JOB_PREFIX,
    INVENTORY_PREFIX,
    "s/r",
    "s/t",
    INSTANCE_PREFIX,
    SUPPORT_PREFIX,
    CONTINUATION_PREFIX,
    MEMBERSHIP_PREFIX,
)


def continuation_key(key: str, index: int) -> str:
    """The key of a further part of a record."""
    return f"{CONTINUATION_PREFIX}{key[len(KEY_ROOT) :]}/{index}"


def parse_continuation_key(key: str) -> tuple[str, int]:
    """The key of the record that a further part belongs to, and the part's index.

    Raises:
        ValueError: the key does not end in a number.
    """
    name, _, index = key[len(CONTINUATION_PREFIX) :].rpartition("/")
    return KEY_ROOT + name, int(index)


def last_component(key: str) -> str:
    """What follows the last slash of a key."""
    return key.rpartition("/")[2]


def key_kind(key: str) -> str:
    """The kind of record under a key, for statistics: the key's first two components."""
    return "/".join(key.split("/")[:2])
