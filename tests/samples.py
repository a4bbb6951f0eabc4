"""Makes samples of the records and messages of production: `python tests/samples.py`.

The samples are stored beside the tests, which therefore need no git history.
"""

import json
import sys
from pathlib import Path
from random import Random
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent / "src")]

import production  # noqa: E402

FILE = Path(__file__).with_name("production.json")


def records(version: Any) -> dict[str, Any]:
    """Return sample records of every kind, by description."""
    model, rng = version.model, Random(7)
    samples: dict[str, Any] = {}

    def spec(number: int, **fields: Any) -> Any:
        defaults = {
            "id": f"job-{number:06d}",
            "cls": "batch",
            "team": "red",
            "kind": "array",
            "priority": 1,
            "tasks": 40,
            "cpus": 2.0,
            "gpus": 0.0,
            "memory_gb": 4.0,
            "image": "img-1",
            "image_gb": 1.5,
            "types": None,
            "zone": None,
            "one_zone": False,
            "spread": False,
            "spot": True,
            "estimate_s": 5.25,
            "checkpoint_s": 0.0,
            "save_s": 0.0,
            "deadline_s": None,
        }
        return model.JobSpec(**(defaults | fields))

    samples["job, fresh"] = model.Job(spec(1), 1234.5678).record()
    running = model.Job(spec(2, types=("small", "large"), deadline_s=60.0), 99.0)
    for task in range(30):
        if rng.random() < 0.4:
            running.done.add(task)
        else:
            machine = rng.choice(["vm-000012", "vm-000013", "odd-name"])
            zone = "north" if machine == "vm-000012" else "south"
            stop = 1.5 if task % 7 == 0 else None
            running.live[task] = model.Attempt(machine, zone, 1 + task % 2, 1 + task % 3, stop)
    running.next_attempt, running.errors = 4, 2
    samples["job, running"] = running.record()
    gang = model.Job(spec(3, kind="group", one_zone=True, gpus=1.0, tasks=2), 5.0)
    gang.live = {t: model.Attempt("vm-000001", "north", 3, 1, 0.0) for t in (0, 1)}
    gang.next_attempt, gang.cancelled = 2, True
    samples["job, cancelled"] = gang.record()
    samples["final"] = list(model.Final("done", 40))
    samples["team"] = list(model.Team(12.0, 1.0))
    fleet = {
        f"vm-{n:06d}": model.Machine("small", "north", n % 2 > 0, state, 1000.4 + n)
        for n, state in enumerate(("rented", "draining", "gone"))
    }
    samples["fleet"] = model.fleet_value(fleet)
    statuses = {
        f"vm-{n:06d}": model.Seen(
            "small", "north", False, 1 + (n == 3), n / 8, 4.5 if n == 3 else None, 0, ("img-1",)
        )
        for n in range(60)
    }
    summary = model.Summary(7, 55.5, 4321, statuses)
    samples["summary"] = model.pack_summary(summary, 8192)
    samples["summary in parts"] = model.pack_summary(summary, 400)
    return samples


def messages(version: Any) -> dict[str, str]:
    """Return sample messages of every kind, encoded as hexadecimal digits."""
    mesh, model = version.mesh, version.model
    samples = {
        "beat": mesh.Beat("node-1", True, 12),
        "poke": mesh.Poke(77),
        "sighting": mesh.Sighting(
            "node-1", "vm-000001", model.Seen("small", "north", True, 2, 0.5)
        ),
        "ends": mesh.Ends([mesh.EndedTask("job-000001", 3, "vm-000001", "north", 1, 2, "done")]),
        "ask": mesh.Ask("node-1", 5, "GET", "/work/job-000001", b""),
        "answer": mesh.Answer(5, 200, b"\xa0", None),
    }
    return {name: mesh._encoder.encode(message).hex() for name, message in samples.items()}


def make() -> dict[str, Any]:
    version = production.load()
    return {
        "commit": production.commit(),
        "records": records(version),
        "messages": messages(version),
    }


if __name__ == "__main__":
    FILE.write_text(json.dumps(make(), indent=1, default=list) + "\n", "utf-8")
