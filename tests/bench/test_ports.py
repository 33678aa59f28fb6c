"""Ports that several rigs reserve at once."""

import subprocess
import sys

import pytest

from jackdawpass.bench import ports

FEW = range(24_000, 24_040)
RESERVE_SOME = """\
import sys
from jackdawpass.bench import ports
print(*(ports.reserve(ports=range(24_000, 24_040)) for _ in range(15)), flush=True)
sys.stdin.read()
"""


def test_port_is_given_once_in_all_processes() -> None:
    """Guards against two processes of different rigs that listen on one port."""
    rigs = [
        subprocess.Popen(
            [sys.executable, "-c", RESERVE_SOME],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    given: list[str] = []
    for rig in rigs:
        assert rig.stdout is not None
        given += rig.stdout.readline().split()
    assert len(given) == 30 == len(set(given))
    remaining = 0
    with pytest.raises(RuntimeError, match="no free port"):
        while remaining <= len(FEW):
            assert str(ports.reserve(ports=FEW)) not in given
            remaining += 1
    assert remaining <= len(FEW) - 30
    for rig in rigs:
        rig.communicate()
    # The ports of a process that has ended are free again.
    assert str(ports.reserve(ports=FEW)) in given
