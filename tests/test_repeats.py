"""Determinism of seeded simulations: the same events under every hash seed."""

import first_difference

PLAY = "from test_random_faults import *; store_history_digest({seed})"
# Injected fault: each request goes to the first of a set, whose order depends on the hash seed.
HASH_DEPENDENT_ASK = """
import simulation
ask = simulation.SimulatedCluster.ask
async def hash_dependent_ask(self, method, path, body=None, node=None):
    first = next(iter({{f"node-{{index}}" for index in range(self.count)}}))
    return await ask(self, method, path, body, int(first.rpartition("-")[2]))
simulation.SimulatedCluster.ask = hash_dependent_ask
"""


def test_a_seeded_run_gives_the_same_events_under_two_hash_seeds() -> None:
    code = PLAY.format(seed=107)
    first, other = (first_difference.play(code, seed) for seed in ("4", "7"))
    assert len(first) > 1000, first[-1:]
    at = first_difference.first_difference(first, other)
    assert at is None, (first[at : at + 1], other[at : at + 1])


def test_a_dependence_on_the_order_of_a_set_is_detected() -> None:
    code = HASH_DEPENDENT_ASK.format() + PLAY.format(seed=107)
    plays = [first_difference.play(code, str(seed)) for seed in (1, 2, 3, 4)]
    assert all(len(events) > 100 for events in plays), [events[-1:] for events in plays]
    differences = [first_difference.first_difference(plays[0], other) for other in plays[1:]]
    assert any(at is not None for at in differences)


def test_first_difference_returns_the_first_differing_index() -> None:
    first = first_difference.first_difference
    assert first(["a", "b"], ["a", "b"]) is None
    assert first(["a", "b"], ["a", "c"]) == 1
    assert first(["a"], ["a", "b"]) == 1
