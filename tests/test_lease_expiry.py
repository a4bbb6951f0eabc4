"""Tests of the proof that an agent's lease has expired."""

from random import Random

from sandladder.agents import LeaseExpiryProof
from sandladder.model import MachineInventory, MachineStatus

LEASE_S = 10.0


def test_expiry_is_proved_only_after_a_full_lease_without_an_answer() -> None:
    """Checks the proof against random answers of three controllers and delayed inventories."""
    proved_count = 0
    for seed in range(300):
        rng = Random(seed)
        proof = LeaseExpiryProof("a", ["a", "b", "c"], LEASE_S, 0.0)
        proof.observe_inventories({}, 0.0)
        proof.observe_agent_epochs({"vm": [1]}, 0.0)
        answer_times: list[float] = [0.0]
        last_answer_at = {"b": 0.0, "c": 0.0}
        revisions: list[tuple[float, int]] = []
        inventories: dict[str, MachineInventory] = {}
        silent_from = rng.uniform(5.0, 20.0)
        revision = 0
        pending: list[tuple[float, str, MachineInventory]] = []
        now = 0.0
        while now < 60.0:
            now += rng.uniform(0.1, 0.6)
            revision += 1
            revisions.append((now, revision))
            node = rng.choice("abc")
            if now < silent_from or rng.random() < 0.01:
                answer_times.append(now)
                if node == "a":
                    proof.record_answer("vm", now)
                else:
                    last_answer_at[node] = now
            for peer in "bc":
                if rng.random() < 0.3:
                    status = MachineStatus("t", "z", False, 1, now - last_answer_at[peer])
                    read_revision = revisions[max(0, len(revisions) - rng.randint(1, 4))][1]
                    inventory = MachineInventory(1, now, read_revision, {"vm": status})
                    pending.append((now + rng.uniform(0, 3), peer, inventory))
            for item in sorted(pending, key=lambda item: item[0]):
                if item[0] <= now:
                    inventories[item[1]] = item[2]
                    pending.remove(item)
            proof.observe_inventories(dict(inventories), now)
            proof.record_store_read(now, revision)
            if proof.has_expired("vm", 1, now):
                proved_count += 1
                gaps = [b - a for a, b in zip(answer_times, [*answer_times[1:], now], strict=True)]
                assert max(gaps) >= LEASE_S, (seed, now, answer_times[-3:])
    assert proved_count > 100


def test_expiry_is_not_proved_by_inventories_older_than_the_agent_epoch() -> None:
    """Guards against running a task of a new machine, absent from older inventories, twice."""
    proof = LeaseExpiryProof("a", ["a", "b"], LEASE_S, 0.0)
    proof.observe_agent_epochs({"old": [1]}, 0.0)
    for second in range(1, 51):
        now = float(second)
        proof.observe_inventories({"b": MachineInventory(1, now, second - 1, {})}, now)
        proof.record_store_read(now, second)
    assert proof.has_expired("old", 1, 50.0)
    proof.observe_agent_epochs({"old": [1], "new": [1]}, 50.0)
    assert proof.has_expired("old", 1, 50.0)
    for second in range(50, 90):
        assert not proof.has_expired("new", 1, float(second))
    # Inventories made a full lease after the start of the epoch prove the expiry.
    for second in range(90, 102):
        proof.observe_inventories({"b": MachineInventory(1, second, second - 1, {})}, float(second))
        proof.record_store_read(float(second), second)
    assert proof.has_expired("new", 1, 102.0)
    proof.observe_agent_epochs({"old": [1]}, 102.0)
    assert not proof.has_expired("old", 2, 90.0)


def proof_for_silent_agent(nodes: list[str]) -> LeaseExpiryProof:
    """Return the proof of node `a`, process 7, which has read the store for three leases."""
    proof = LeaseExpiryProof("a", nodes, LEASE_S, 0.0, 7)
    proof.observe_agent_epochs({"vm": [1]}, 0.0)
    for second in range(1, 31):
        proof.record_store_read(float(second), second)
    return proof


def test_expiry_is_not_proved_while_a_peer_may_have_answered_recently() -> None:
    proof = proof_for_silent_agent(["a", "b"])
    assert not proof.has_expired("vm", 1, 30.0)  # no inventory of `b` was ever read
    # The inventory of `b` is unreadable, so `b` is running and may have answered.
    proof.observe_inventories({}, 1.0, {"b"})
    assert not proof.has_expired("vm", 1, 30.0)
    # The inventory of `b` was removed with its lease, so `b` has stopped answering.
    proof.observe_inventories({}, 1.0)
    assert proof.has_expired("vm", 1, 30.0)


def test_expiry_is_not_proved_while_another_process_uses_the_same_node_name() -> None:
    """Guards against missing the answers that the other process gave to agents."""
    proof = proof_for_silent_agent(["a"])
    assert proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({"a": MachineInventory(1, 1.0, 1, {}, process=8)}, 30.0)
    assert not proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({}, 30.0, {"a"})
    assert not proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({"a": MachineInventory(1, 1.0, 1, {}, process=7)}, 30.0)
    assert proof.has_expired("vm", 1, 30.0)


def test_expiry_is_not_proved_if_an_absent_peer_may_have_answered_between_two_reads() -> None:
    """Guards against running a task twice."""
    proof = proof_for_silent_agent(["a", "b"])
    proof.observe_inventories({}, 1.0)
    # Until the next read `b` may have held a lease and answered, and have lost the lease again.
    proof.observe_inventories({}, 60.0)
    proof.record_store_read(60.0, 90)
    assert not proof.has_expired("vm", 1, 60.0)


def test_an_unchanged_absence_counts_from_its_beginning_and_a_changed_one_anew() -> None:
    """Guards against machines that are never found lost while a controller is gone for good."""
    proof = proof_for_silent_agent(["a", "b", "c"])
    proof.observe_inventories({}, 1.0)
    for second in range(2, 30):
        proof.observe_inventories({}, float(second), changed_nodes=["d"])
    assert proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({}, 30.0, changed_nodes=["c"])
    assert not proof.has_expired("vm", 1, 30.0)
