"""A seeded play repeats event by event, whatever the hash seed of its process."""

import first_difference

PLAY = "from test_random_faults import *; store_history_digest({seed})"
# A user who asks the first of a set of controllers: its order follows the hash seed.
PLANTED = """
import simulation
ask = simulation.SimulatedCluster.ask
async def planted(self, method, path, body=None, node=None):
    first = next(iter({{f"node-{{index}}" for index in range(self.count)}}))
    return await ask(self, method, path, body, int(first.rpartition("-")[2]))
simulation.SimulatedCluster.ask = planted
"""


def test_a_seeded_play_repeats_event_by_event_under_two_hash_seeds() -> None:
    code = PLAY.format(seed=107)
    one, other = (first_difference.play(code, seed) for seed in ("4", "7"))
    assert len(one) > 1000, one[-1:]
    at = first_difference.first_difference(one, other)
    assert at is None, (one[at : at + 1], other[at : at + 1])


def test_a_planted_dependence_on_a_sets_order_is_found() -> None:
    code = PLANTED.format() + PLAY.format(seed=107)
    plays = [first_difference.play(code, str(seed)) for seed in (1, 2, 3, 4)]
    assert all(len(events) > 100 for events in plays), [events[-1:] for events in plays]
    found = [first_difference.first_difference(plays[0], other) for other in plays[1:]]
    assert any(at is not None for at in found)


def test_the_first_difference_is_where_plays_part() -> None:
    first = first_difference.first_difference
    assert first(["a", "b"], ["a", "b"]) is None
    assert first(["a", "b"], ["a", "c"]) == 1
    assert first(["a"], ["a", "b"]) == 1
