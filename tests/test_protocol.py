"""Tests of the protocol: malformed messages raise `MalformedMessageError`, valid ones are read."""

import contextlib
from random import Random
from typing import Any

import cbor2
import pytest

from sandladder.model import Command, MachineType
from sandladder.protocol import (
    MalformedMessageError,
    agent_messages,
    cloud_messages,
    codec,
    job_messages,
    loads,
    loads_map,
    store_messages,
)
from simulation import job

OPTIONAL_FIELDS = ("breeds", "district", "due_s", "awaits")
EDGE_VALUES: list[Any] = [
    None, True, -1, float("nan"), float("inf"), "", "x" * 200, [], {}, 2**70, "job-1", "a\n",
]  # fmt: skip
HEARTBEAT = {
    "rung": "vm-000231",
    "addr": "10.1.0.232:9000",
    "breed": "g8",
    "district": "a",
    "loaners": True,
    "shift": 1,
    "tally": 88,
    "seal": 41,
    "recall_s": None,
    "entries": [
        {"entry": "job-000412/3", "try": 2, "standing": "running"},
        {"entry": "job-000398/0", "try": 1, "standing": "exited", "cause": "mates_gone"},
    ],
}


def test_corrupted_bodies_raise_only_malformed_message_errors() -> None:
    rng = Random(3)
    job_messages.parse_submission(cbor2.dumps(job(1)))
    for _ in range(3000):
        body = dict(job(1))
        body[rng.choice(list(body))] = rng.choice(EDGE_VALUES)
        raw = bytearray(cbor2.dumps(body))
        if rng.random() < 0.5:
            raw[rng.randrange(len(raw))] = rng.randrange(256)
        if rng.random() < 0.2:
            raw = raw[: rng.randrange(len(raw))]
        for parse in (
            job_messages.parse_submission,
            lambda b: agent_messages.parse_heartbeat(loads(b)),
        ):
            with contextlib.suppress(MalformedMessageError):
                parse(bytes(raw))
        job_id = job_messages.job_id_of(bytes(raw))
        assert job_id is None or job_messages.is_job_id(job_id)


@pytest.mark.parametrize("field", [field for field in job(1) if field not in OPTIONAL_FIELDS])
def test_a_submission_without_a_required_field_is_malformed(field: str) -> None:
    body = cbor2.dumps({key: value for key, value in job(1).items() if key != field})
    with pytest.raises(MalformedMessageError) as raised:
        job_messages.parse_submission(body)
    assert raised.value.field == field
    assert str(raised.value) == f"{field}: {raised.value.problem}"


@pytest.mark.parametrize("field", OPTIONAL_FIELDS)
def test_an_absent_optional_field_equals_null(field: str) -> None:
    body = cbor2.dumps({key: value for key, value in job(1).items() if key != field})
    assert job_messages.parse_submission(body) == job_messages.parse_submission(cbor2.dumps(job(1)))


@pytest.mark.parametrize("body", [b"", b"\x00\x00", b"\xff", b"nonsense", cbor2.dumps([1])])
def test_the_error_for_a_body_that_is_not_a_map_names_no_field(body: bytes) -> None:
    with pytest.raises(MalformedMessageError) as raised:
        loads_map(body)
    assert raised.value.field == ""


def test_a_heartbeat_is_parsed_completely() -> None:
    heartbeat = agent_messages.parse_heartbeat(HEARTBEAT)
    assert (heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot) == (
        "vm-000231",
        "g8",
        "a",
        True,
    )
    assert (
        heartbeat.agent_epoch,
        heartbeat.sequence_number,
        heartbeat.fencing_token,
        heartbeat.notice_s,
    ) == (
        1,
        88,
        41,
        None,
    )
    assert [(t.job, t.task, t.attempt, t.state, t.cause) for t in heartbeat.tasks] == [
        ("job-000412", 3, 2, "running", ""),
        ("job-000398", 0, 1, "exited", "peers"),
    ]


@pytest.mark.parametrize("field", ["rung", "addr", "breed", "district", "shift", "tally", "seal"])
def test_a_heartbeat_without_a_required_field_is_malformed(field: str) -> None:
    with pytest.raises(MalformedMessageError) as raised:
        agent_messages.parse_heartbeat({k: v for k, v in HEARTBEAT.items() if k != field})
    assert raised.value.field == field


def test_commands_are_encoded_in_order() -> None:
    commands = [
        Command("start", "job-000412", 4, 2),
        Command("stop", "job-000377", 1, 1, 10),
        Command("forget", "job-000398", 0, 1),
    ]
    value = {
        "seal": 41,
        "orders": [
            {"verb": "run", "entry": "job-000412/4", "try": 2},
            {"verb": "halt", "entry": "job-000377/1", "try": 1, "mercy_s": 10},
            {"verb": "reap", "entry": "job-000398/0", "try": 1},
        ],
    }
    assert agent_messages.commands_value(41, commands) == value
    body = agent_messages.direct_commands_body(1, 41, commands)
    assert loads(body) == value | {"shift": 1}


def test_absent_optional_fields_of_a_machine_type_are_zero() -> None:
    raw = {"label": "c1", "vcpus": 4, "ram_gb": 16, "pull_gb_per_s": 1.0, "price": 0.2}
    raw |= {"boot_s": 9, "districts": ["a", "b"]}
    machine_type = MachineType("c1", 4.0, 0.0, 16.0, 0.0, 1.0, 0.2, 0.0, 9.0, ("a", "b"))
    body = codec.dumps({"breeds": [raw]})
    assert cloud_messages.parse_catalog(body) == {"c1": machine_type}
    with pytest.raises(MalformedMessageError):
        cloud_messages.parse_catalog(codec.dumps({"breeds": []}))


def test_the_target_of_a_machine_page_names_the_last_machine_before_it() -> None:
    assert cloud_messages.machines_target("") == "/machines?most=500"
    assert cloud_messages.machines_target("vm-1") == "/machines?after=vm-1&most=500"


@pytest.mark.parametrize(("ttl_s", "ttl_ms"), [(0.001, 100), (5.0, 5000), (1e9, 600_000)])
def test_the_ttl_of_a_lease_is_clamped_to_the_limits_of_the_store(
    ttl_s: float, ttl_ms: int
) -> None:
    assert loads(store_messages.lease_body(ttl_s)) == {"ttl_ms": ttl_ms}


def test_changes_are_parsed_with_versions_and_deletions_without_values() -> None:
    body = codec.dumps(
        {
            "ledger": 433,
            "log": [{"put": "c/9", "v": [1], "edition": 433}, {"drop": "c/d", "edition": 432}],
        }
    )
    assert store_messages.parse_changes(body) == (433, [("c/9", [1], 433), ("c/d", None, 432)])


def test_a_transaction_contains_its_expected_versions() -> None:
    body = store_messages.commit_body([("a", 0)], [("b", 1, None), ("c", 2, 7)], ["d"])
    assert loads(body) == {
        "guards": [{"key": "a", "edition": 0}],
        "apply": [{"put": "b", "v": 1}, {"put": "c", "v": 2, "tenure": 7}, {"drop": "d"}],
    }


def test_former_names_stand_for_the_same_functions() -> None:
    assert job_messages.parse_submission is job_messages.parse_submission
    assert agent_messages.parse_heartbeat is agent_messages.parse_heartbeat
    assert MalformedMessageError is MalformedMessageError
