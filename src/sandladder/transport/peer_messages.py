"""Messages between controllers and their framing: MessagePack with a length prefix.

Messages reduce latency and may be lost; they are never the only source of a fact.  Anything that
must not be lost is written to the key-value store.

On the wire a message is an array: its tag, then its fields in the order of their declaration here.
Receivers ignore further elements, so a later version may append fields with defaults.  The order
and the tags must not change; the names of fields may.
"""

from typing import NamedTuple

import msgspec

from sandladder.errors import SandladderError
from sandladder.model import SCHEMA_V1, ClockReading, MachineStatus

# The maximum size of a frame's body, in bytes.
MAX_FRAME_BYTES = 256 * 1024
_LENGTH_BYTES = 4


class FrameLengthError(SandladderError):
    """A frame's length is zero or exceeds the limit; the connection is no longer readable."""

    def __init__(self, size: int) -> None:
        """Create the error.

        Args:
            size: the announced length of the body, in bytes.
        """
        super().__init__(f"invalid frame length: {size} bytes")
        self.size = size


class LinkObservation(NamedTuple):
    """A controller's observation of its link to another controller."""

    silent_s: float  # time since the other controller's last heartbeat
    refused: bool  # whether the last connection attempt was refused


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A controller's periodic heartbeat, with its status.

    The first version sends only the fields up to `schema_version`.  Those from `incarnation`
    to `observations` are input of the failure detector, the others of the lease renewal guard.
    """

    node: str
    store_reachable: bool  # the sender can use the store and its own lease is valid
    demand: int = 0  # pending changes to be written to the store
    schema_version: int = SCHEMA_V1  # the newest schema version that the sender supports
    incarnation: int = 0  # the fencing token its process joined with; 0: has not joined
    fencing_token: int = 0  # the sender's current fencing token
    late_s: float = 0.0  # the delay with which its timers fire
    agents: int | None = None  # number that report to it; None: it accepts no heartbeats
    leaving: bool = False
    observations: dict[str, LinkObservation] = {}  # by controller
    process: int = 0  # identifies the process; differs between the processes of one controller
    sent_at: float = 0.0  # on that process's steady clock, in seconds
    acknowledged: dict[str, ClockReading] = {}  # by controller, the latest reading received
    cancelled_jobs: list[str] = []  # committed cancellations known to the sender
    cancelled_jobs_complete: bool = False  # `cancelled_jobs` was not truncated


class ChangeNotice(msgspec.Struct, tag="poke", array_like=True):
    """A notice that a committed change concerns the receiver, which should read changes now."""

    revision: int  # the revision of the sender's cache


class EndedTask(msgspec.Struct, array_like=True):
    """The end of an attempt, as proved by an agent's heartbeat."""

    job: str
    task: int
    machine: str
    zone: str
    agent_epoch: int
    attempt: int
    outcome: str


class MachineUpdate(msgspec.Struct, tag="sighting", array_like=True):
    """The status of a machine that appeared, changed or is to be reclaimed."""

    node: str  # the controller to which the machine reports, which is the sender
    machine: str
    status: MachineStatus


class EndedTasks(msgspec.Struct, tag="ends", array_like=True):
    """Proved ends of attempts.

    Every receiver counts the capacity as free; the controller to which a job is assigned commits
    its ends.
    """

    ends: list[EndedTask]


class ForwardedRequest(msgspec.Struct, tag="ask", array_like=True):
    """A user's request that the sender forwards because it cannot serve it."""

    node: str
    number: int  # chosen by the sender and never reused
    method: str
    path: str
    body: bytes


class ForwardedResponse(msgspec.Struct, tag="answer", array_like=True):
    """The response to a forwarded request."""

    number: int
    status: int
    body: bytes
    retry_after: int | None  # in seconds


Message = (
    PeerHeartbeat | ChangeNotice | MachineUpdate | EndedTasks | ForwardedRequest | ForwardedResponse
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message: length prefix and body."""
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


def decode_body(body: bytes) -> Message:
    """Decode the message in a frame's body.

    Raises:
        msgspec.DecodeError: the body is not a message that this version knows.
    """
    return _decoder.decode(body)


def take_frame(buffer: bytearray) -> bytes | None:
    """Remove the first frame from a buffer and return its body, or None if it is incomplete.

    Raises:
        FrameLengthError: the frame's length is zero or exceeds the limit.
    """
    if len(buffer) < _LENGTH_BYTES:
        return None
    size = int.from_bytes(buffer[:_LENGTH_BYTES], "big")
    if not 0 < size <= MAX_FRAME_BYTES:
        raise FrameLengthError(size)
    end = _LENGTH_BYTES + size
    if len(buffer) < end:
        return None
    body = bytes(buffer[_LENGTH_BYTES:end])
    del buffer[:end]
    return body
