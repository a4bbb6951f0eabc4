"""The protocol: how every message to and from other components is spelled and checked.

The one package that knows the field names and words of the outside; everything else speaks the
terms of `sandladder.model`, into which each message is translated here, once.  One module for each
interface: `job_messages` (users), `agent_messages` (machines), `cloud_messages` and
`store_messages`; `codec` has what they share.  It owns no state, does no I/O, and decides nothing:
which status code an answer gets is for those who give it.

Messages between controllers are not in it: they are this program's own (`transport`).
"""

from sandladder.protocol.codec import MalformedMessageError, dumps, loads, loads_map

__all__ = ["MalformedMessageError", "dumps", "loads", "loads_map"]
