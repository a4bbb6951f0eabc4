"""The protocol: encoding, decoding and validation of messages to and from other components.

Only this package uses the field names and words of the wire format.  It translates each message to
or from the terms of `sandladder.model`, which all other packages use.  There is one module for each
interface: `job_messages` (users), `agent_messages`, `cloud_messages` and `store_messages`; `codec`
holds the shared functions.  The package owns no state and does no I/O.  Its callers choose the
status codes of responses.

The messages between controllers are defined in `sandladder.transport`.
"""

from sandladder.protocol.codec import MalformedMessageError, dumps, loads, loads_map

__all__ = ["MalformedMessageError", "dumps", "loads", "loads_map"]
