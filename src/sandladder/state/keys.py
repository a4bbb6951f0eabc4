"""The keys of the records in the key-value store.

The keys are part of the stored schema, which the version in production shares; `docs/upgrading.md`
defines which version reads which record.
"""

KEY_ROOT = "s/"

# Prefixes of keys; what follows the prefix is given after the semicolon.
JOB_PREFIX = "s/j/"  # a live job, or a finished one that is not archived yet; the job id
FINISHED_JOB_PREFIX = "s/f/"  # an archived finished job; the job id
TEAM_PREFIX = "s/t/"  # a team's usage (schema version 1) or assignment (version 2); the team
INVENTORY_PREFIX = "s/p/"  # a controller's machine inventory, under its lease; the controller
INSTANCE_PREFIX = "s/v/"  # the cluster's cloud instances; the number of the chunk
SUPPORT_PREFIX = "s/n/"  # the schema versions that controllers support
CONTINUATION_PREFIX = "s/x/"  # a part of a split record other than the first
MEMBERSHIP_PREFIX = "s/m/"  # the roster; in schema version 2 only

# All prefixes have the same length, so that a slice of a key identifies the kind of record.
PREFIX_LENGTH = 4

# Single records.
SCHEMA_VERSION_KEY = JOB_PREFIX + "form"
SUPPORTED_VERSIONS_KEY = SUPPORT_PREFIX + "forms"
ROSTER_KEY = MEMBERSHIP_PREFIX + "roster"
FENCING_TOKEN_KEY = "s/term"  # the last fencing token that was issued
AUTOSCALER_KEY = "s/renter"  # the controller that runs the autoscaler
MACHINE_TYPES_KEY = "s/types"  # the cloud's machine types

# The prefixes that a controller loads at startup: all but the archived jobs.  "s/r" and "s/t" also
# cover the single records.
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
    """Return the key of a part of a split record other than the first."""
    return f"{CONTINUATION_PREFIX}{key[len(KEY_ROOT) :]}/{index}"


def parse_continuation_key(key: str) -> tuple[str, int]:
    """Return the key of the record to which a continuation key belongs, and the part's index.

    Raises:
        ValueError: the key does not end in a number.
    """
    name, _, index = key[len(CONTINUATION_PREFIX) :].rpartition("/")
    return KEY_ROOT + name, int(index)


def last_component(key: str) -> str:
    """Return the part of a key after its last slash."""
    return key.rpartition("/")[2]


def key_kind(key: str) -> str:
    """Return a key's first two components, which identify its kind in statistics."""
    return "/".join(key.split("/")[:2])
