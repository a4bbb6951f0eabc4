"""Memory that the state of a controller takes, in bytes.

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
    """Bytes of memory that jobs, tasks and workers take in a controller."""

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "bytes of memory")

    for jobs in (100, 300, 600, 1000, 1500):
        yield row("a job with one live task", "live jobs", jobs, _kept_bytes(partial(_jobs, jobs)))
    for tasks in (100, 200, 400, 800, 1000):
        kept = _kept_bytes(partial(_one_job, tasks))
        yield row("a live task of a job", "live tasks", tasks, kept)
    for machines in (100, 300, 600, 1000, 1300):
        yield row(
            "a worker",
            "workers",
            machines,
            _kept_bytes(partial(controller_state.build, machines)),
        )


def _jobs(number: int) -> ControllerState:
    built = controller_state.build(1)
    controller_state.start_all(built, controller_state.add_jobs(built, number, 1), 100)
    return built


def _one_job(tasks: int) -> ControllerState:
    built = controller_state.build(1)
    controller_state.start_all(built, controller_state.add_jobs(built, 1, tasks), 100)
    return built


def _kept_bytes(make: Callable[[], object]) -> float:
    """The bytes that an object keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(size)
