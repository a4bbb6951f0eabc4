"""The states of instances in the stored records and in the cloud's list of machines.

The values of the first group are stored and must not change.
"""

from typing import Final

# In the stored records.
ACTIVE: Final = "rented"  # booting or running; tasks may be placed on it
DRAINING: Final = "draining"  # receives no more tasks and is returned when it is empty
GONE: Final = "gone"  # was returned, failed, or is missing from the cloud's list

# In the cloud's list.
LISTED_BOOTING: Final = "booting"
LISTED_FAILED: Final = "failed"
