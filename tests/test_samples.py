"""Compatibility of the codecs with records and messages of the version in production.

The samples are made by `samples.py` with that version's code; the tests need no git history.
"""

import json
from typing import Any

import msgspec
import pytest

import production
import samples
from helpers import LIMITS, commit
from sandladder.jobs import end, start
from sandladder.model import (
    SCHEMA_V1,
    SCHEMA_V2,
    EndedAttempt,
    FinishedJob,
    Job,
    Machine,
    MachineInventory,
    MachineStatus,
    Placement,
    TeamUsage,
)
from sandladder.state import (
    JOB_PREFIX,
    StateCache,
    Transaction,
    finished_job_value,
    instances_value,
    inventory_values_v1,
    job_value,
    read_finished_job,
    read_instances,
    read_inventory,
    read_job,
    read_team,
)
from sandladder.transport import peer_messages

SAMPLES: dict[str, Any] = json.loads(samples.FILE.read_text("utf-8"))
RECORDS, MESSAGES = SAMPLES["records"], SAMPLES["messages"]


def as_json(value: Any) -> Any:
    """Return the value as the store returns it."""
    return json.loads(msgspec.json.encode(value))


def test_samples_are_of_the_version_in_production() -> None:
    assert SAMPLES["commit"] == production.commit()
    if production.unavailable_reason() is not None:
        pytest.skip(str(production.unavailable_reason()))
    assert json.loads(json.dumps(samples.make(), default=list)) == SAMPLES


@pytest.mark.parametrize("name", [name for name in RECORDS if name.startswith("job")])
def test_job_of_production_round_trips(name: str) -> None:
    job = read_job(RECORDS[name])
    assert as_json(job_value(job)) == RECORDS[name]
    assert job.dependencies == () and job.ready is None


def test_other_records_of_production_round_trip() -> None:
    assert read_team(RECORDS["team"]) == TeamUsage(12.0, 1.0)
    finished = read_finished_job(RECORDS["final"])
    assert finished == FinishedJob("done", 40)
    assert finished_job_value(finished._replace(at=12.0), SCHEMA_V1) == RECORDS["final"]
    assert finished_job_value(finished._replace(at=12.0), SCHEMA_V2) == [*RECORDS["final"], 12.0]
    assert as_json(instances_value(read_instances(RECORDS["fleet"]))) == RECORDS["fleet"]
    assert read_instances(RECORDS["fleet"])["vm-000001"] == Machine(
        "small", "north", True, "draining", 1001
    )


@pytest.mark.parametrize("name", ["summary", "summary in parts"])
def test_inventory_adds_two_fields_that_production_ignores(name: str) -> None:
    inventory = read_inventory(RECORDS[name])
    assert (
        inventory is not None
        and inventory.schema_version == SCHEMA_V1
        and inventory.machines["vm-000003"].agent_epoch == 2
    )
    values = inventory_values_v1(
        inventory._replace(schema_version=SCHEMA_V2, process=77), 8192 if name == "summary" else 400
    )
    if name == "summary":
        assert as_json(values[0]) == RECORDS[name][0] | {"w": SCHEMA_V2, "o": 77}
    assert read_inventory(values) == inventory._replace(schema_version=SCHEMA_V2, process=77)


def test_schema_v1_records_have_no_key_unknown_to_production() -> None:
    cache = StateCache()
    cache.apply(
        3, [(JOB_PREFIX + "job-000001", RECORDS["job, fresh"], 2), ("s/t/red", [0.0, 0.0], 3)]
    )
    production_keys = set().union(*(RECORDS[name] for name in RECORDS if name.startswith("job")))
    transaction = Transaction(cache, 200.0)
    places = [Placement(t, f"vm-{t:06d}", "north", 1) for t in range(20)]
    start(transaction, "job-000001", places, LIMITS)
    for key, value, _ in transaction.changes():
        assert isinstance(value, list) if key == "s/t/red" else set(value) <= production_keys
    commit(cache, transaction)
    assert cache.teams["red"] == TeamUsage(40.0, 0.0)
    transaction = Transaction(cache, 200.0)
    job: Job = cache.jobs["job-000001"]
    assert end(transaction, [EndedAttempt(job.id, t, a, "done") for t, a in job.live.items()], 9.0)
    assert {key for key, _, _ in transaction.changes()} == {JOB_PREFIX + job.id, "s/t/red"}


def test_messages_of_production_round_trip() -> None:
    for name, text in MESSAGES.items():
        message = peer_messages._decoder.decode(bytes.fromhex(text))
        encoded = peer_messages._encoder.encode(message).hex()
        if name == "beat":
            # The current version appends elements, which production ignores.
            assert (
                isinstance(message, peer_messages.PeerHeartbeat)
                and message.schema_version == SCHEMA_V1
            )
            old_elements = msgspec.msgpack.decode(bytes.fromhex(text))
            elements = msgspec.msgpack.decode(bytes.fromhex(encoded))
            assert (
                elements[: len(old_elements)] == old_elements
                and elements[len(old_elements)] == SCHEMA_V1
            )
        else:
            assert encoded == text
    update = peer_messages._decoder.decode(bytes.fromhex(MESSAGES["sighting"]))
    assert isinstance(update, peer_messages.MachineUpdate) and len(update.status) == len(
        MachineStatus._fields
    )
    assert MachineInventory._fields[:4] == ("fencing_token", "up_s", "revision", "machines")
