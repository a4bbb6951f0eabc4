"""The proof that an agent's lease has expired, whichever controller may have renewed it."""

from random import Random

from sandladder.agents import LeaseExpiryProof
from sandladder.model import MachineInventory, MachineStatus

LEASE_S = 10.0


def test_expiry_is_never_proved_while_any_controller_may_have_answered() -> None:
    """Random answers by three controllers and late inventories, against the truth."""
    proved = 0
    for seed in range(300):
        rng = Random(seed)
        proof = LeaseExpiryProof("a", ["a", "b", "c"], LEASE_S, 0.0)
        proof.observe_inventories({}, 0.0)
        proof.observe_sessions({"vm": [1]}, 0.0)
        answers: list[float] = [0.0]
        last = {"b": 0.0, "c": 0.0}
        history: list[tuple[float, int]] = []
        nodes: dict[str, MachineInventory] = {}
        quiet_from = rng.uniform(5.0, 20.0)
        revision = 0
        pending: list[tuple[float, str, MachineInventory]] = []
        now = 0.0
        while now < 60.0:
            now += rng.uniform(0.1, 0.6)
            revision += 1
            history.append((now, revision))
            who = rng.choice("abc")
            if now < quiet_from or rng.random() < 0.01:
                answers.append(now)
                if who == "a":
                    proof.record_answer("vm", now)
                else:
                    last[who] = now
            for name in "bc":
                if rng.random() < 0.3:
                    status = MachineStatus("t", "z", False, 1, now - last[name])
                    known = history[max(0, len(history) - rng.randint(1, 4))][1]
                    inventory = MachineInventory(1, now, known, {"vm": status})
                    pending.append((now + rng.uniform(0, 3), name, inventory))
            for item in sorted(pending, key=lambda p: p[0]):
                if item[0] <= now:
                    nodes[item[1]] = item[2]
                    pending.remove(item)
            proof.observe_inventories(dict(nodes), now)
            proof.record_store_read(now, revision)
            if proof.has_expired("vm", 1, now):
                proved += 1
                gaps = [b - a for a, b in zip(answers, [*answers[1:], now], strict=True)]
                assert max(gaps) >= LEASE_S, (seed, now, answers[-3:])
    assert proved > 100


def test_an_agent_that_started_after_the_inventories_is_not_proved_expired() -> None:
    """Seen in a measured day: a peer's message on a new machine came before its inventory did.

    Another controller, cut off from both, read the start and proved the agent's lease expired by
    inventories from before it was up; the task ran twice.
    """
    proof = LeaseExpiryProof("a", ["a", "b"], LEASE_S, 0.0)
    proof.observe_sessions({"old": [1]}, 0.0)
    for second in range(1, 51):
        now = float(second)
        proof.observe_inventories({"b": MachineInventory(1, now, second - 1, {})}, now)
        proof.record_store_read(now, second)
    assert proof.has_expired("old", 1, 50.0)
    proof.observe_sessions({"old": [1], "new": [1]}, 50.0)
    assert proof.has_expired("old", 1, 50.0)
    for second in range(50, 90):
        assert not proof.has_expired("new", 1, float(second))
    # Once inventories are made long enough after its beginning, it is proved like any other.
    for second in range(90, 102):
        proof.observe_inventories({"b": MachineInventory(1, second, second - 1, {})}, float(second))
        proof.record_store_read(float(second), second)
    assert proof.has_expired("new", 1, 102.0)
    proof.observe_sessions({"old": [1]}, 102.0)
    assert not proof.has_expired("old", 2, 90.0)


def silent_agent(nodes: list[str]) -> LeaseExpiryProof:
    """A proof by controller `a`, of process 7, that has read the store for three leases."""
    proof = LeaseExpiryProof("a", nodes, LEASE_S, 0.0, 7)
    proof.observe_sessions({"vm": [1]}, 0.0)
    for second in range(1, 31):
        proof.record_store_read(float(second), second)
    return proof


def test_a_controller_that_may_have_answered_at_any_time_prevents_the_proof() -> None:
    proof = silent_agent(["a", "b"])
    assert not proof.has_expired("vm", 1, 30.0)  # nothing was ever read of `b`
    # Its inventory cannot be read: it is running, and may have answered.
    proof.observe_inventories({}, 1.0, {"b"})
    assert not proof.has_expired("vm", 1, 30.0)
    # Its inventory has gone with its own lease, so it has stopped answering.
    proof.observe_inventories({}, 1.0)
    assert proof.has_expired("vm", 1, 30.0)


def test_nothing_is_proved_while_another_process_runs_under_our_name() -> None:
    """Seen in the simulation: it had answered an agent from which we received nothing."""
    proof = silent_agent(["a"])
    assert proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({"a": MachineInventory(1, 1.0, 1, {}, process=8)}, 30.0)
    assert not proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({}, 30.0, {"a"})
    assert not proof.has_expired("vm", 1, 30.0)
    proof.observe_inventories({"a": MachineInventory(1, 1.0, 1, {}, process=7)}, 30.0)
    assert proof.has_expired("vm", 1, 30.0)
