"""Tests of the command line, in the process and as separate processes."""

import json
import pathlib
import subprocess
import sys

import pytest

from jackdawpass import cli
from tests import rig

COMMANDS = (
    "entry",
    "query",
    "status",
    "drain",
    "timeline",
    "version",
    "stand-in",
    "demo",
    "bench",
)


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "jackdawpass", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@pytest.mark.parametrize("command", COMMANDS)
def test_help_shows_an_example(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against commands whose help has no example."""
    with pytest.raises(SystemExit) as exit_info:
        cli.main([command, "--help"])
    assert exit_info.value.code == 0
    assert f"example:\n  jackdawpass {command}" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["version", "--formt", "json"], 2, "did you mean '--format'"),
        (["query", "x", "lots", "1"], 2, "write HOST:PORT"),
        (["timeline"], 2, "name a LOG"),
        (["timeline", "/nonexistent"], 1, "check its path"),
        (["timeline", "x", "--since", "soon"], 2, "is not a time"),
        (["stand-in", "target", "--options", "{"], 2, "correct the JSON"),
        (["stand-in", "target", "--options", '{"name": 1}'], 2, "correct the JSON"),
        (["status", "127.0.0.1:1"], 1, "check the address"),
        (["drain", "127.0.0.1:1"], 1, "check the address"),
        (["entry", "--settings", "/nonexistent"], 1, "check its path"),
    ],
)
def test_user_errors_are_reported_in_one_line_with_a_remedy(
    arguments: list[str],
    code: int,
    message: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against tracebacks and wrong exit codes for user errors."""
    try:
        returned = cli.main(arguments)
    except SystemExit as error:
        returned = int(error.code or 0)
    printed = capsys.readouterr().err
    assert returned == code
    assert message in printed
    assert printed.count("\n") == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ["status", "127.0.0.1:1", "127.0.0.1:2"],
        ["drain", "127.0.0.1:1"],
        ["query", "127.0.0.1:1", "lots", "offers"],
        ["timeline", "/nonexistent"],
        ["timeline", "--live", "127.0.0.1:1"],
        ["entry", "--settings", "/nonexistent"],
        ["entry", "--check", "--port", "x"],
        ["config", "check", "/nonexistent"],
        ["config", "apply", "overlay", "NORTH", "/nonexistent"],
        ["index", "publish", "LOTS", "/nonexistent"],
    ],
)
def test_failure_is_one_json_document_for_every_command(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against commands whose JSON errors differ in form from the others."""
    assert cli.main([*arguments, "--format", "json"]) == 1
    error = json.loads(capsys.readouterr().err)
    assert error.keys() == {"error", "messages"}
    assert error["messages"]
    assert cli.main(arguments) == 1
    lines = capsys.readouterr().err.splitlines()
    assert lines == [f"error: {message}" for message in error["messages"]]


def test_check_prints_settings_with_origins(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check that starts the instance or omits an origin."""
    monkeypatch.setenv("JACKDAWPASS_ZONE", "b")
    arguments = ["entry", "--check", "--instance", "i", "--site", "s"]
    assert cli.main([*arguments, "--format", "json"]) == 0
    rows = {row["name"]: row for row in json.loads(capsys.readouterr().out)}
    assert rows["zone"]["origin"] == "environment JACKDAWPASS_ZONE"
    assert rows["site"] == {"name": "site", "value": "s", "origin": "flag --site"}
    monkeypatch.setenv("JACKDAWPASS_ZNE", "b")
    assert cli.main(arguments) == 1


def test_commands_on_a_running_instance(
    processes: rig.Rig, tmp_path: pathlib.Path
) -> None:
    """Guards against commands that are incompatible with the API of an instance."""
    processes.add_target("lots-a", zone="a", snapshots={"s1": [0]})
    targets = processes.target_settings({"lots-a": "a"})
    parts = rig.service_parts("lots", targets, {"lots-a": [0]}, shards=1)
    processes.commit(parts)
    entry = processes.add_entry(tmp_path, drain_grace_seconds=0)
    address = f"127.0.0.1:{entry.port}"
    answered = _run("query", address, "lots", "offers", "--format", "json")
    assert answered.returncode == 0
    request_id = json.loads(answered.stdout)["request_id"]
    refused = _run("query", address, "no", "offers")
    assert refused.returncode == 1
    assert "unknown_service (not_run)" in refused.stderr
    refused = _run("query", address, "no", "offers", "--format", "json")
    assert json.loads(refused.stderr)["problem"]["outcome"] == "not_run"
    status = json.loads(_run("status", address, "--format", "json").stdout)[0]
    assert status["configuration_version"] == 1
    assert (status["ready"], status["in_flight"]) == (True, 0)
    assert status["counters"]["requests"] == 3
    bad = rig.call("GET", entry.url + "/v1/events?after=-1")
    assert (bad.status, bad.document["kind"]) == (400, "malformed_request")
    live = _run("timeline", "--live", address, "--format", "json")
    drained = _run("drain", address)
    assert (drained.returncode, drained.stdout) == (0, "entry-1 is drained\n")
    assert entry.wait() == 0
    entry.stop()
    log = tmp_path / "entry.log"
    log.write_text('{"port": 1}\n' + "".join(entry.lines) + '{"cut o')
    page = tmp_path / "page.html"
    both = _run("timeline", str(log), "--request", request_id, "--format", "json")
    kinds = [event["kind"] for event in json.loads(both.stdout)["events"]]
    assert kinds == [
        "request_accepted",
        "attempt_queued",
        "attempt_sent",
        "attempt_replied",
        "request_finished",
    ]
    assert "1 unreadable lines" in both.stderr
    assert _run("timeline", str(log), "--html", str(page)).returncode == 0
    assert request_id[:8] in page.read_text()
    logged = json.loads(_run("timeline", str(log), "--format", "json").stdout)
    common = json.loads(live.stdout)["events"]
    assert logged["events"][: len(common)] == common
    assert [event["kind"] for event in logged["events"][-3:]] == [
        "drain_started",
        "listening_stopped",
        "stopped",
    ]
