"""The encoding of messages between controllers: frames with arrays of a tag and fields."""

import msgspec
import pytest

from sandladder.errors import SandladderError
from sandladder.model import ClockReading
from sandladder.transport import (
    ChangeNotice,
    ForwardedRequest,
    ForwardedResponse,
    LinkObservation,
    PeerHeartbeat,
)
from sandladder.transport.peer_messages import (
    MAX_FRAME_BYTES,
    FrameLengthError,
    Message,
    decode_body,
    encode_frame,
    take_frame,
)

MESSAGES: list[Message] = [
    ChangeNotice(77),
    ForwardedRequest("node-1", 5, "GET", "/work/job-000001", b""),
    ForwardedResponse(5, 200, b"\xa0", None),
]


@pytest.mark.parametrize("chunk_bytes", [1, 3, 7, 1000])
def test_frames_are_decoded_in_order_for_any_chunk_size(chunk_bytes: int) -> None:
    stream = b"".join(encode_frame(message) for message in MESSAGES)
    buffer, received = bytearray(), []
    for start in range(0, len(stream), chunk_bytes):
        buffer += stream[start : start + chunk_bytes]
        while (body := take_frame(buffer)) is not None:
            received.append(decode_body(body))
    assert received == MESSAGES
    assert not buffer


@pytest.mark.parametrize("size", [0, MAX_FRAME_BYTES + 1])
def test_a_frame_of_invalid_length_raises_an_error_with_its_size(size: int) -> None:
    with pytest.raises(FrameLengthError) as raised:
        take_frame(bytearray(size.to_bytes(4, "big") + b"x"))
    assert raised.value.size == size
    assert isinstance(raised.value, SandladderError)


def test_a_heartbeat_is_encoded_as_an_array_in_protocol_order() -> None:
    heartbeat = PeerHeartbeat(
        "node-1",
        True,
        12,
        2,
        incarnation=3,
        fencing_token=9,
        late_s=0.25,
        agents=4,
        leaving=False,
        observations={"node-2": LinkObservation(0.5, True)},
        process=7,
        sent_at=1.5,
        acknowledged={"node-2": ClockReading(8, 2.5)},
        cancelled_jobs=["job-000001"],
        cancelled_jobs_complete=True,
    )
    assert msgspec.msgpack.decode(encode_frame(heartbeat)[4:]) == [
        *["beat", "node-1", True, 12, 2, 3, 9, 0.25, 4, False, {"node-2": [0.5, True]}],
        *[7, 1.5, {"node-2": [8, 2.5]}, ["job-000001"], True],
    ]
    assert decode_body(encode_frame(heartbeat)[4:]) == heartbeat
