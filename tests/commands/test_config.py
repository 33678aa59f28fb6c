"""The operators' commands as separate processes against the platform stand-in."""

import json
import pathlib
import subprocess
import sys
import typing

import pytest

from jackdawpass import cli
from jackdawpass.commands import console
from tests import rig

ROOT = pathlib.Path(__file__).parents[2]
TARGET = {"host": "127.0.0.1", "port": 9000, "zone": "a"}
TIMEOUT_SECONDS = 60


class Operator:
    """Runs commands against the platform of a rig."""

    def __init__(self, platform_url: str, directory: pathlib.Path) -> None:
        self._platform_url = platform_url
        self._directory = directory

    def file(self, name: str, document: object) -> str:
        """Write a file and return its path."""
        path = self._directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def base(self, **keys: typing.Any) -> str:
        """Write a base file and return its path."""
        services = {"lots": {"targets": {"lots-a": TARGET}}}
        return self.file("base.jsonc", {"services": services, **keys})

    def run(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run a command to its end; never with a traceback."""
        command = [sys.executable, "-m", "jackdawpass", *arguments]
        ended = subprocess.run(
            [*command, "--platform", self._platform_url, "--format", "json"],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        assert "Traceback" not in ended.stderr
        return ended

    def done(self, *arguments: str) -> typing.Any:
        """Run a command that succeeds and return its document."""
        ended = self.run(*arguments)
        assert ended.returncode == 0, ended.stderr
        assert ended.stderr == ""
        return json.loads(ended.stdout)

    def refused(self, *arguments: str) -> typing.Any:
        """Run a command that is refused and return its error document."""
        ended = self.run(*arguments)
        assert ended.returncode == 1, ended.stdout
        return json.loads(ended.stderr)


@pytest.fixture
def operator(processes: rig.Rig, tmp_path: pathlib.Path) -> Operator:
    """Give an operator of the rig's platform."""
    return Operator(processes.platform.url, tmp_path)


def test_changes_are_accepted_shown_and_rolled_back(operator: Operator) -> None:
    """Guards against a command that works only with the in-memory fake."""
    assert operator.done("config", "history")["history"] == []
    assert operator.done("config", "apply", "base", operator.base())["version"] == 1
    placement = {"lots-a": [0, 1]}
    index = {"snapshot": "s1", "shards": 2, "placement": placement}
    operator.done("index", "publish", "lots", operator.file("index.jsonc", index))
    assert operator.done("index", "show", "lots")["index"] == index
    overlay = operator.file("north.jsonc", {"instances_max": 40})
    operator.done("config", "apply", "overlay", "north", overlay)
    shown = operator.done("config", "show", "--effective", "north")
    assert shown["configuration"]["instances_max"] == 40
    changed = operator.base(instances_max=20)
    differences = operator.done("config", "diff", "base", changed)["differences"]
    assert [each["path"] for each in differences] == ["instances_max"]
    assert operator.done("config", "rollback", "2")["changed"] == ["overlay/north"]
    assert operator.done("config", "diff", "versions", "2", "4")["differences"] == []
    versions = [
        each["version"] for each in operator.done("config", "history")["history"]
    ]
    assert versions == [4, 3, 2, 1]


def test_base_that_breaks_a_stored_overlay_is_refused(operator: Operator) -> None:
    """Guards against a change that one site cannot accept."""
    operator.done("config", "apply", "base", operator.base())
    overlay = operator.file("north.jsonc", {"instances_max": 60})
    operator.done("config", "apply", "overlay", "north", overlay)
    targets = {"lots-a": {**TARGET, "connections": 59}}
    broken = operator.base(services={"lots": {"targets": targets}})
    error = operator.refused("config", "apply", "base", broken)
    assert error["error"] == "InvalidConfiguration"
    path = "services.lots.targets.lots-a.connections"
    assert error["messages"][0].startswith(f"base with overlay north: {path}: ")


def test_file_edited_from_an_older_version_is_refused(operator: Operator) -> None:
    """Guards against reverting another operator's change."""
    operator.done("config", "apply", "base", operator.base())
    operator.done("config", "apply", "base", operator.base(instances_max=20))
    stale = ("config", "apply", "base", operator.base(instances_max=25))
    error = operator.refused(*stale, "--based-on", "1")
    assert error["error"] == "ConflictingChange"
    assert "base/defaults in version 2" in error["messages"][0]


@pytest.mark.parametrize("fault", ["lose_write_replies", "drop_writes"])
def test_commit_survives_lost_writes(
    operator: Operator, processes: rig.Rig, fault: str
) -> None:
    """Guards against settling that works only with the in-memory fake."""
    operator.done("config", "apply", "base", operator.base())
    processes.faults(processes.platform, **{fault: 3})
    changed = operator.base(instances_max=20)
    assert operator.done("config", "apply", "base", changed)["version"] == 2
    assert len(operator.done("config", "history")["history"]) == 2


def test_platform_outage_is_one_line(operator: Operator, processes: rig.Rig) -> None:
    """Guards against a traceback or an endless wait during an outage."""
    processes.faults(processes.platform, down=True)
    error = operator.refused("config", "history")
    assert error["error"] == "PlatformUnavailable"
    assert len(error["messages"]) == 1


def test_wait_names_the_instances_that_are_behind(operator: Operator) -> None:
    """Guards against taking silence for acceptance."""
    waiting = ("config", "wait", "1", "--instances", "127.0.0.1:9", "--timeout", "0")
    assert "127.0.0.1:9 (no answer)" in operator.refused(*waiting)["messages"][0]


@pytest.mark.parametrize(
    "services", [[], None, {"lots": 5}, {"a/b": {"targets": {}}}, {"lots": {}}]
)
def test_misshaped_base_is_refused(operator: Operator, services: object) -> None:
    """Guards against splitting a base that is not an object of services."""
    path = operator.base(services=services)
    error = operator.refused("config", "apply", "base", path)
    assert error["error"] == "InvalidConfiguration"


def test_examples_are_valid(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against example files that the schema refuses."""
    paths = [str(ROOT / "examples" / f"{name}.jsonc") for name in ("base", "overlay")]
    assert cli.main(["config", "check", *paths]) == 0
    assert cli.main(["config", "check", paths[1], "missing.jsonc"]) == 1
    captured = capsys.readouterr()
    assert captured.err.startswith("error: missing.jsonc: cannot be read")


@pytest.mark.parametrize(
    "arguments",
    [
        ["config"],
        ["config", "rollback", "0"],
        ["config", "wait", "1"],
        ["config", "wait", "1", "--instances", "nowhere"],
        ["config", "history", "--platform", "ftp://127.0.0.1"],
        ["index", "publish", "lots"],
    ],
)
def test_usage_fault_exits_with_2(arguments: list[str]) -> None:
    """Guards against mixing up usage faults and refusals."""
    with pytest.raises(SystemExit) as ended:
        cli.main(arguments)
    assert ended.value.code == console.EXIT_USAGE


@pytest.mark.parametrize(
    "command",
    [
        "config check",
        "config diff base",
        "config diff overlay",
        "config diff versions",
        "config apply base",
        "config apply overlay",
        "config show",
        "config history",
        "config wait",
        "config rollback",
        "index publish",
        "index show",
    ],
)
def test_help_has_an_example(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a command without an example."""
    with pytest.raises(SystemExit):
        cli.main([*command.split(), "--help"])
    shown = " ".join(capsys.readouterr().out.split())
    assert f"example: jackdawpass {command} " in f"{shown} "
