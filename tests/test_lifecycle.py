"""The proof that a machine is lost."""

from random import Random

from sandladder.agents import LeaseExpiryProof
from sandladder.model import MachineInventory, MachineStatus


def test_loss_is_never_proved_while_any_controller_may_have_answered() -> None:
    """Random answers by three controllers and late summaries, against the truth."""
    lease = 10.0
    proved = 0
    for seed in range(300):
        rng = Random(seed)
        proof = LeaseExpiryProof("a", ["a", "b", "c"], lease, 0.0)
        proof.observe({}, 0.0)
        proof.holds([("vm", 1)], 0.0)
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
                    proof.answered("vm", now)
                else:
                    last[who] = now
            for name in "bc":
                if rng.random() < 0.3:
                    seen = MachineStatus("t", "z", False, 1, now - last[name])
                    known = history[max(0, len(history) - rng.randint(1, 4))][1]
                    pending.append(
                        (
                            now + rng.uniform(0, 3),
                            name,
                            MachineInventory(1, now, known, {"vm": seen}),
                        )
                    )
            for item in sorted(pending, key=lambda p: p[0]):
                if item[0] <= now:
                    nodes[item[1]] = item[2]
                    pending.remove(item)
            proof.observe(dict(nodes), now)
            proof.synced(now, revision)
            if proof.lost("vm", 1, now):
                proved += 1
                gaps = [b - a for a, b in zip(answers, [*answers[1:], now], strict=True)]
                assert max(gaps) >= lease, (seed, now, answers[-3:])
    assert proved > 100


def test_a_machine_that_came_up_after_the_summaries_is_not_proved_lost() -> None:
    """Seen in a measured day: a peer's word on a new machine came before its summary did.

    Another controller, cut off from both, saw the start and proved the machine lost by
    summaries from before it was up; the task ran twice.
    """
    proof = LeaseExpiryProof("a", ["a", "b"], 10.0, 0.0)
    proof.holds([("old", 1)], 0.0)
    for second in range(1, 51):
        now = float(second)
        proof.observe({"b": MachineInventory(1, now, second - 1, {})}, now)
        proof.synced(now, second)
    assert proof.lost("old", 1, 50.0)
    proof.holds([("old", 1), ("new", 1)], 50.0)
    assert proof.lost("old", 1, 50.0)
    for second in range(50, 90):
        assert not proof.lost("new", 1, float(second))
    # Once summaries are made long enough after its beginning, it is proved like any other.
    for second in range(90, 102):
        proof.observe({"b": MachineInventory(1, second, second - 1, {})}, float(second))
        proof.synced(float(second), second)
    assert proof.lost("new", 1, 102.0)
    proof.holds([("old", 1)], 102.0)
    assert not proof.lost("old", 2, 90.0)
