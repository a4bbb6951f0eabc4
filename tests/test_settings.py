"""Settings that are checked and what follows from them."""

import msgspec
import pytest

from sandladder.config import Objective, Settings
from world import settings

TEAM = '[[deployment.teams]]\nname = "red"\n'


def test_settings_name_the_bad_field(tmp_path, capsys) -> None:
    from sandladder.cli import main
    from sandladder.config import SettingsError, parse_operator

    good = (
        'node_name = "n"\nlocation = "z"\napi_addr = "1.2.3.4:1"\nmesh_addr = "1.2.3.4:2"\n'
        'new_field = 7\n[external]\ncloud = "1.2.3.4:3"\nstate = "1.2.3.4:4"\n[deployment]\n'
        'zones = ["z"]\n[deployment.workers]\nreport_s = 3.0\nlease_s = 18.0\ncancel_s = 40.0\n'
        "[deployment.state]\nrps = 100\nwrite_rps = 10.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
        "[deployment.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n"
    )
    path = tmp_path / "s.toml"
    path.write_text(good)
    assert main(["--config", str(path), "--check"]) == 0
    # A guarantee without a limit is no contradiction.
    path.write_text(good + TEAM + "cpus = 9.0\n")
    assert main(["--config", str(path), "--check"]) == 0
    for bad, field in (
        (good.replace("lease_s = 18.0", 'lease_s = "long"'), "lease_s"),
        (good.replace("rps = 100", "rps = 0"), "state.rps"),
        (good.replace('"1.2.3.4:4"', '"nowhere"'), "external.state"),
        (good.replace("txn_ops = 12", ""), "txn_ops"),
        (good.replace("txn_ops = 12", "txn_ops = 3"), "txn_ops"),
        (good.replace("value_kb = 8.0", "value_kb = 1.9"), "value_kb"),
        (good.replace("cancel_s = 40.0", "cancel_s = 19.0"), "workers.cancel_s"),
        (good + TEAM + "cpus_max = -1.0\n", "teams[0].cpus_max"),
        (good + TEAM + "gpus = -0.5\n", "teams[0].gpus"),
        (good + TEAM + "gpus_max = inf\n", "teams[0].gpus_max"),
        (good + TEAM + "cpus = 9.0\ncpus_max = 8.0\n", "teams[0].cpus"),
        ("= nonsense", "s.toml"),
    ):
        path.write_text(bad)
        assert main(["--config", str(path), "--check"]) == 2
        message = capsys.readouterr().err
        assert field in message and message.count("\n") == 1
    assert parse_operator("(sandladder (sample 8))").sample == 8
    for text in ("(sandladder (nonsense 1))", "(sandladder (sample -1))", "(other)", "(sandladder"):
        with pytest.raises(SettingsError):
            parse_operator(text)
    assert msgspec.structs.asdict(parse_operator("(sandladder)"))["hold_leases"] == 2.0


def test_the_shortest_wait_of_a_class_counts() -> None:
    """A class may have two aims for its start; the later one hid the tighter one."""
    known = settings(0, 1)
    aims = [
        Objective("wait", "web", 2.0),
        Objective("wait", "web", 12.0),
        Objective("never heard of", "web", 1.0),
    ]
    deployment = msgspec.structs.replace(known.platform.deployment, objectives=aims)
    platform = msgspec.structs.replace(known.platform, deployment=deployment)
    assert Settings(platform).waits == {"web": 2.0}
    assert Settings(platform).unknown_aims == ["never heard of"]
