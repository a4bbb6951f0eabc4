"""Messages between controllers, and how they are framed: MessagePack behind a length prefix.

Every message is advisory: it makes things quick, may be lost, and is never the only way by which
something becomes known.  What must not be missed goes through the state service.

On the wire a message is an array: its tag, then its fields in the order in which they are declared
here.  Receivers ignore further elements, so a later version may add fields at the end with
defaults; order and tags never change, names of fields may.
"""

from typing import NamedTuple

import msgspec

from sandladder.errors import SandladderError
from sandladder.model import SCHEMA_V1, ClockReading, MachineStatus

# The largest body of a frame, in bytes.
MAX_FRAME_BYTES = 256 * 1024
_LENGTH_BYTES = 4


class FrameTooLargeError(SandladderError):
    """A frame's length is zero or over the limit: the connection cannot be read any further."""

    def __init__(self, size: int) -> None:
        """`size`: the announced length of the body, in bytes."""
        super().__init__(f"a frame of {size} bytes")
        self.size = size


class LinkObservation(NamedTuple):
    """What a controller observes on its link to another."""

    silent_s: float  # since the other's last heartbeat
    refused: bool  # the last connection to it was refused


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A controller's periodic sign of life, with its status.

    The fields up to `schema_version` are all that the first version sends.  From `incarnation` on
    they are input of the failure detector, from `process` on of the guard of lease renewals.
    """

    node: str
    store_reachable: bool  # the state service answers the sender and its own lease lasts
    demand: int = 0  # changes that wait for the state service
    schema_version: int = SCHEMA_V1  # the newest stored schema that the sender understands
    incarnation: int = 0  # the fencing token with which its process joined; 0: not yet
    fencing_token: int = 0  # the one that it has now
    late_s: float = 0.0  # how late its timers fire
    agents: int | None = None  # how many report to it; None: it takes none
    leaving: bool = False
    observations: dict[str, LinkObservation] = {}  # by controller
    process: int = 0  # distinguishes the processes of one controller
    sent_at: float = 0.0  # on that process's steady clock, in seconds
    acknowledged: dict[str, ClockReading] = {}  # by controller, its latest `sent_at` received
    cancelled_jobs: list[str] = []  # committed cancellations that the sender knows
    cancelled_jobs_complete: bool = False  # none had to be left out


class ChangeNotice(msgspec.Struct, tag="poke", array_like=True):
    """Something that concerns the receiver was committed: it should read the changes now."""

    revision: int  # that the sender's cache had reached


class EndedTask(msgspec.Struct, array_like=True):
    """The end of an attempt, as an agent's heartbeat proves it."""

    job: str
    task: int
    machine: str
    zone: str
    session: int
    attempt: int
    outcome: str


class MachineUpdate(msgspec.Struct, tag="sighting", array_like=True):
    """A machine came, changed or is about to be reclaimed, as seen by its reporting controller."""

    node: str
    machine: str
    status: MachineStatus


class EndedTasks(msgspec.Struct, tag="ends", array_like=True):
    """Proved ends: free capacity for all, and a commit to make for the jobs' assignee."""

    ends: list[EndedTask]


class ForwardedRequest(msgspec.Struct, tag="ask", array_like=True):
    """A user's request that the sender cannot serve itself."""

    node: str
    number: int  # chosen by the sender, never used twice
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
    """A message as it goes over a connection: length prefix and body."""
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


def decode_body(body: bytes) -> Message:
    """The message in a frame's body.

    Raises:
        msgspec.DecodeError: it is none that this version knows.
    """
    return _decoder.decode(body)


def take_frame(buffer: bytearray) -> bytes | None:
    """Remove the first frame from what was received and return its body; None if it is incomplete.

    Raises:
        FrameTooLargeError: its length is outside the limits.
    """
    if len(buffer) < _LENGTH_BYTES:
        return None
    size = int.from_bytes(buffer[:_LENGTH_BYTES], "big")
    if not 0 < size <= MAX_FRAME_BYTES:
        raise FrameTooLargeError(size)
    end = _LENGTH_BYTES + size
    if len(buffer) < end:
        return None
    body = bytes(buffer[_LENGTH_BYTES:end])
    del buffer[:end]
    return body
