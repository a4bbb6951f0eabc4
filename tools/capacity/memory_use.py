"""Memory use of a controller's state, in bytes.

Quantities keep the names under which the rows in docs/capacity/ were recorded.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial

from capacity import controller_state
from capacity.controller_state import ControllerState
from capacity.rows import Row


def memory_use(run: str) -> Iterator[Row]:
    """Yield the memory use of jobs, tasks and workers in a controller."""

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "bytes of memory")

    for jobs in (100, 300, 600, 1000, 1500):
        yield row(
            "a job with one live task",
            "live jobs",
            jobs,
            _retained_bytes(partial(_state_with_jobs, jobs)),
        )
    for tasks in (100, 200, 400, 800, 1000):
        retained = _retained_bytes(partial(_state_with_one_job, tasks))
        yield row("a live task of a job", "live tasks", tasks, retained)
    for machines in (100, 300, 600, 1000, 1300):
        yield row(
            "a worker",
            "workers",
            machines,
            _retained_bytes(partial(controller_state.build, machines)),
        )


def _state_with_jobs(jobs: int) -> ControllerState:
    state = controller_state.build(1)
    controller_state.start_all(state, controller_state.add_jobs(state, jobs, 1), 100)
    return state


def _state_with_one_job(tasks: int) -> ControllerState:
    state = controller_state.build(1)
    controller_state.start_all(state, controller_state.add_jobs(state, 1, tasks), 100)
    return state


def _retained_bytes(make: Callable[[], object]) -> float:
    """Return the memory allocated by the creation of an object and retained by it, in bytes."""
    gc.collect()
    tracemalloc.start()
    retained = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(size)
