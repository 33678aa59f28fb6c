"""Tests of the command `front`."""

import pathlib
import socket
import subprocess
import sys

from jackdawpass.bench import ports
from soak import testbed


def test_port_in_use_is_reported_with_a_remedy(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback instead of an error message for a port in use."""
    settings = tmp_path / "node.toml"
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        used_port = listener.getsockname()[1]
        text = testbed.SETTINGS_TEMPLATE.format(
            name="front-1",
            zone="a",
            front=used_port,
            ready=ports.reserve(),
            peers=ports.reserve(),
            store=9,
            drain_ms=testbed.DRAIN_MS,
        )
        settings.write_text(text)
        command = [sys.executable, "-m", "jackdawpass", "front"]
        completed = subprocess.run(
            [*command, "--settings", str(settings)],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert completed.returncode == 1
    assert f"cannot listen on 127.0.0.1:{used_port}" in completed.stderr
    assert "Traceback" not in completed.stderr
