"""The states of instances in the cloud's list of machines.

`sandladder.model` has the states of instances in the stored records.
"""

from typing import Final

LISTED_BOOTING: Final = "booting"
LISTED_FAILED: Final = "failed"
