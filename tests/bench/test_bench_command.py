"""Tests of the `bench` command, run as a process."""

import json
import pathlib
import subprocess
import sys


def test_experiment_writes_its_results(tmp_path: pathlib.Path) -> None:
    """Guards against an experiment that does not end or omits its measures."""
    command = [sys.executable, "-m", "jackdawpass", "bench", "replica-lost"]
    options = ["--scale", "0.1", "--rounds", "1", "--out", str(tmp_path)]
    done = subprocess.run([*command, *options], capture_output=True, timeout=60)
    assert done.returncode == 0, done.stderr
    result = json.loads((tmp_path / "replica-lost.json").read_text())
    for policy in ("chosen", "naive"):
        assert result["policies"][policy]["received"] > 0
        before = result["policies"][policy]["windows"]["before"]
        assert before["outcomes"] == {"answer": before["queries"]}
    assert (tmp_path / "replica-lost.png").stat().st_size > 0


def test_unknown_experiment_is_a_usage_error() -> None:
    """Guards against reporting success for an experiment that does not exist."""
    command = [sys.executable, "-m", "jackdawpass", "bench", "stedy"]
    done = subprocess.run(command, capture_output=True, timeout=60)
    assert done.returncode == 2
