"""The states of instances, as our records and the cloud's list of machines spell them.

The values of the first group are stored; they never change.
"""

from typing import Final

# In our records.
ACTIVE: Final = "rented"  # boots or runs, and may be given work
DRAINING: Final = "draining"  # is given no more work and is returned once nothing runs there
GONE: Final = "gone"  # was returned, failed, or is no longer in the cloud's list

# In the cloud's list.
LISTED_BOOTING: Final = "booting"
LISTED_FAILED: Final = "failed"
