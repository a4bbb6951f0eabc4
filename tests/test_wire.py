"""Bodies that come from outside."""

import contextlib
from random import Random

import cbor2
import pytest

from sandladder.protocol import wire
from world import job


def test_hostile_bodies_are_malformed_and_nothing_else() -> None:
    rng = Random(3)
    good = cbor2.dumps(job(1))
    wire.parse_job(good)
    odd = [None, True, -1, float("nan"), float("inf"), "", "x" * 200, [], {}, 2**70, "job-1", "a\n"]
    for _ in range(3000):
        body = dict(job(1))
        body[rng.choice(list(body))] = rng.choice(odd)
        raw = bytearray(cbor2.dumps(body))
        if rng.random() < 0.5:
            raw[rng.randrange(len(raw))] = rng.randrange(256)
        if rng.random() < 0.2:
            raw = raw[: rng.randrange(len(raw))]
        for parse in (wire.parse_job, lambda b: wire.parse_report(wire.loads(b))):
            with contextlib.suppress(wire.MalformedMessageError):
                parse(bytes(raw))
        assert wire.id_of(bytes(raw)) is None or wire.is_job_id(wire.id_of(bytes(raw)) or "")
    for field in job(1):
        if field in ("breeds", "district", "due_s", "awaits"):
            continue
        with pytest.raises(wire.MalformedMessageError):
            wire.parse_job(cbor2.dumps({k: v for k, v in job(1).items() if k != field}))
