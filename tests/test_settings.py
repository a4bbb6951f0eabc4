"""Tests of the checks of settings at startup, and of values derived from them."""

from pathlib import Path

import msgspec
import pytest

from sandladder.cli import main
from sandladder.config import Objective, Settings, SettingsError, parse_address, parse_operator
from simulation import settings

VALID_FILE = (
    'node_name = "n"\nlocation = "z"\napi_addr = "1.2.3.4:1"\nmesh_addr = "1.2.3.4:2"\n'
    'new_field = 7\n[external]\ncloud = "1.2.3.4:3"\nstate = "1.2.3.4:4"\n[deployment]\n'
    'zones = ["z"]\n[deployment.workers]\nreport_s = 3.0\nlease_s = 18.0\ncancel_s = 40.0\n'
    "[deployment.state]\nrps = 100\nwrite_rps = 10.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
    "[deployment.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n"
)
TEAM_SECTION = '[[deployment.teams]]\nname = "red"\n'
DUPLICATE_PEER_SECTION = '[[peers]]\nnode_name = "n"\naddr = "1.2.3.4:5"\n'


def run_check(path: Path, text: str) -> int:
    """Return the exit status of `sandladder --check` for a platform file with this text."""
    path.write_text(text)
    return main(["--config", str(path), "--check"])


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(VALID_FILE, id="unknown fields are ignored"),
        pytest.param(VALID_FILE + TEAM_SECTION + "cpus = 9.0\n", id="a guarantee without a limit"),
    ],
)
def test_a_valid_platform_file_passes_the_check(tmp_path: Path, text: str) -> None:
    assert run_check(tmp_path / "s.toml", text) == 0


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (VALID_FILE.replace("lease_s = 18.0", 'lease_s = "long"'), "lease_s"),
        (
            VALID_FILE.replace("lease_s = 18.0", "lease_s = 0.0"),
            "deployment.workers.lease_s: must be",
        ),
        (
            VALID_FILE.replace("rps = 100", "rps = 0"),
            "deployment.state.rps: must be above 0, not 0.0",
        ),
        (
            VALID_FILE.replace("rps = 4.0", "rps = nan"),
            "deployment.cloud.rps: must be above 0, not nan",
        ),
        (VALID_FILE + "[quota]\ncpu = -1.0\n", "deployment.quota.cpu: must be above 0, not -1.0"),
        (VALID_FILE.replace('"1.2.3.4:4"', '"nowhere"'), "external.state"),
        (VALID_FILE.replace("txn_ops = 12", ""), "txn_ops"),
        (VALID_FILE.replace("txn_ops = 12", "txn_ops = 3"), "deployment.state.txn_ops"),
        (VALID_FILE.replace("value_kb = 8.0", "value_kb = 1.9"), "deployment.state.value_kb"),
        (VALID_FILE + "[deployment.state.next]\ntxn_ops = 3\n", "deployment.state.next.txn_ops"),
        (VALID_FILE + "[deployment.state.next]\nrps = 0.0\n", "deployment.state.next.rps"),
        (VALID_FILE.replace("cancel_s = 40.0", "cancel_s = 19.0"), "workers.cancel_s"),
        (VALID_FILE + DUPLICATE_PEER_SECTION, "peers: node names must differ"),
        (VALID_FILE + TEAM_SECTION + "cpus_max = -1.0\n", "teams[0].cpus_max"),
        (VALID_FILE + TEAM_SECTION + "gpus = -0.5\n", "teams[0].gpus"),
        (VALID_FILE + TEAM_SECTION + "gpus_max = inf\n", "teams[0].gpus_max"),
        (VALID_FILE + TEAM_SECTION + "cpus = 9.0\ncpus_max = 8.0\n", "teams[0].cpus"),
        (VALID_FILE + TEAM_SECTION + TEAM_SECTION, "deployment.teams: names must differ"),
        ("= nonsense", "s.toml"),
    ],
)
def test_the_error_is_one_line_that_names_the_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, field: str
) -> None:
    assert run_check(tmp_path / "s.toml", text) == 2
    message = capsys.readouterr().err
    assert field in message and message.count("\n") == 1


def test_the_error_for_a_missing_platform_file_names_the_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["--config", str(tmp_path / "none.toml"), "--check"]) == 2
    assert "none.toml" in capsys.readouterr().err


def test_operator_settings_override_the_defaults() -> None:
    assert parse_operator("(sandladder (sample 8))").sample == 8
    assert msgspec.structs.asdict(parse_operator("(sandladder)"))["hold_leases"] == 2.0
    assert parse_operator("(sandladder (hold-leases 3.0))").hold_leases == 3.0
    assert parse_operator("(sandladder (spare-jobs 0.0))").spare_jobs == 0.0


@pytest.mark.parametrize(
    "text",
    [
        "(sandladder (nonsense 1))",
        "(sandladder (sample -1))",
        "(sandladder (sample 2) (sample 2))",
        "(sandladder (idle-boots 0.0))",
        "(sandladder (hold-leases 0.4))",
        "(sandladder sample)",
        "(other)",
        "(sandladder",
    ],
)
def test_invalid_operator_settings_are_rejected(text: str) -> None:
    with pytest.raises(SettingsError, match=r"^operator settings: "):
        parse_operator(text)


@pytest.mark.parametrize("addr", ["", "host", ":80", "host:", "host:x", "host:0", "host:65536"])
def test_an_address_without_a_valid_host_and_port_is_rejected(addr: str) -> None:
    with pytest.raises(ValueError, match="not host:port"):
        parse_address(addr)
    assert parse_address("host:65535") == ("host", 65535)


def test_the_strictest_start_objective_of_a_class_applies() -> None:
    """Guards against a later, looser objective that replaces a stricter one of the same class."""
    defaults = settings(0, 1)
    objectives = [
        Objective("wait", "web", 2.0),
        Objective("wait", "web", 12.0),
        Objective("not known", "web", 1.0),
    ]
    deployment = msgspec.structs.replace(defaults.platform.deployment, objectives=objectives)
    platform = msgspec.structs.replace(defaults.platform, deployment=deployment)
    assert Settings(platform).start_objectives_s == {"web": 2.0}
    assert Settings(platform).unknown_objectives == ["not known"]
