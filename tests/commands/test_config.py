"""Tests of `config` and `index`, run as processes against the platform stand-in."""

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


class CommandRunner:
    """Runner of commands against the platform of a rig, with the files they read."""

    def __init__(self, platform_url: str, directory: pathlib.Path) -> None:
        self._platform_url = platform_url
        self._directory = directory

    def write_file(self, name: str, document: object) -> str:
        """Write a JSON file and return its path."""
        path = self._directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def write_base(self, **keys: typing.Any) -> str:
        """Write a base file and return its path."""
        services = {"lots": {"targets": {"lots-a": TARGET}}}
        return self.write_file("base.jsonc", {"services": services, **keys})

    def run(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run a command and check that it printed no traceback."""
        command = [sys.executable, "-m", "jackdawpass", *arguments]
        completed = subprocess.run(
            [*command, "--platform", self._platform_url, "--format", "json"],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        assert "Traceback" not in completed.stderr
        return completed

    def succeed(self, *arguments: str) -> typing.Any:
        """Run a command that must succeed and return its document."""
        completed = self.run(*arguments)
        assert completed.returncode == 0, completed.stderr
        assert completed.stderr == ""
        return json.loads(completed.stdout)

    def fail(self, *arguments: str) -> typing.Any:
        """Run a command that must fail and return its error document."""
        completed = self.run(*arguments)
        assert completed.returncode == 1, completed.stdout
        return json.loads(completed.stderr)


@pytest.fixture
def commands(processes: rig.Rig, tmp_path: pathlib.Path) -> CommandRunner:
    """Return a command runner for the platform of the rig."""
    return CommandRunner(processes.platform.url, tmp_path)


def test_changes_are_accepted_shown_and_rolled_back(commands: CommandRunner) -> None:
    """Guards against commands that work only with the in-memory fake platform."""
    assert commands.succeed("config", "history")["history"] == []
    assert (
        commands.succeed("config", "apply", "base", commands.write_base())["version"]
        == 1
    )
    placement = {"lots-a": [0, 1]}
    index = {"snapshot": "s1", "shards": 2, "placement": placement}
    commands.succeed(
        "index", "publish", "lots", commands.write_file("index.jsonc", index)
    )
    assert commands.succeed("index", "show", "lots")["index"] == index
    overlay = commands.write_file("north.jsonc", {"instances_max": 40})
    commands.succeed("config", "apply", "overlay", "north", overlay)
    shown = commands.succeed("config", "show", "--effective", "north")
    assert shown["configuration"]["instances_max"] == 40
    changed = commands.write_base(instances_max=20)
    differences = commands.succeed("config", "diff", "base", changed)["differences"]
    assert [each["path"] for each in differences] == ["instances_max"]
    assert commands.succeed("config", "rollback", "2")["changed"] == ["overlay/north"]
    assert commands.succeed("config", "diff", "versions", "2", "4")["differences"] == []
    versions = [
        each["version"] for each in commands.succeed("config", "history")["history"]
    ]
    assert versions == [4, 3, 2, 1]


def test_base_that_breaks_a_stored_overlay_is_refused(commands: CommandRunner) -> None:
    """Guards against accepting a base that is invalid together with an overlay."""
    commands.succeed("config", "apply", "base", commands.write_base())
    overlay = commands.write_file("north.jsonc", {"instances_max": 60})
    commands.succeed("config", "apply", "overlay", "north", overlay)
    targets = {"lots-a": {**TARGET, "connections": 59}}
    broken = commands.write_base(services={"lots": {"targets": targets}})
    error = commands.fail("config", "apply", "base", broken)
    assert error["error"] == "InvalidConfiguration"
    path = "services.lots.targets.lots-a.connections"
    assert error["messages"][0].startswith(f"base with overlay north: {path}: ")


def test_file_edited_from_an_older_version_is_refused(commands: CommandRunner) -> None:
    """Guards against silently reverting the change of another operator."""
    commands.succeed("config", "apply", "base", commands.write_base())
    commands.succeed("config", "apply", "base", commands.write_base(instances_max=20))
    stale = ("config", "apply", "base", commands.write_base(instances_max=25))
    error = commands.fail(*stale, "--based-on", "1")
    assert error["error"] == "ConflictingChange"
    assert "base/defaults in version 2" in error["messages"][0]


@pytest.mark.parametrize("fault", ["lose_write_replies", "drop_writes"])
def test_commit_survives_lost_writes(
    commands: CommandRunner, processes: rig.Rig, fault: str
) -> None:
    """Guards against a commit that fails or repeats if a write or its reply is lost.

    The stand-in resets the connection, unlike the in-memory fake platform.
    """
    commands.succeed("config", "apply", "base", commands.write_base())
    processes.faults(processes.platform, **{fault: 3})
    changed = commands.write_base(instances_max=20)
    assert commands.succeed("config", "apply", "base", changed)["version"] == 2
    assert len(commands.succeed("config", "history")["history"]) == 2


def test_platform_outage_is_one_line(
    commands: CommandRunner, processes: rig.Rig
) -> None:
    """Guards against a traceback or an endless wait during an outage."""
    processes.faults(processes.platform, down=True)
    error = commands.fail("config", "history")
    assert error["error"] == "PlatformUnavailable"
    assert len(error["messages"]) == 1


def test_wait_names_the_instances_that_are_behind(commands: CommandRunner) -> None:
    """Guards against treating an instance without an answer as up to date."""
    waiting = ("config", "wait", "1", "--instances", "127.0.0.1:9", "--timeout", "0")
    assert "127.0.0.1:9 (no answer)" in commands.fail(*waiting)["messages"][0]


@pytest.mark.parametrize(
    "services", [[], None, {"lots": 5}, {"a/b": {"targets": {}}}, {"lots": {}}]
)
def test_malformed_base_is_refused(commands: CommandRunner, services: object) -> None:
    """Guards against splitting a base whose services are not an object of objects."""
    path = commands.write_base(services=services)
    error = commands.fail("config", "apply", "base", path)
    assert error["error"] == "InvalidConfiguration"


def test_examples_are_valid(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against example files that are invalid under the schema."""
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
def test_usage_error_exits_with_2(arguments: list[str]) -> None:
    """Guards against usage errors with the exit code of a failed command."""
    with pytest.raises(SystemExit) as exit_info:
        cli.main(arguments)
    assert exit_info.value.code == console.EXIT_USAGE


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
    """Guards against subcommands whose help has no example."""
    with pytest.raises(SystemExit):
        cli.main([*command.split(), "--help"])
    shown = " ".join(capsys.readouterr().out.split())
    assert f"example: jackdawpass {command} " in f"{shown} "
