"""The command that runs an instance on the users' platform."""

import pathlib
import socket
import subprocess
import sys

from soak import testbed


def test_taken_port_is_named_with_its_remedy(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback where an operator looks for what to do."""
    settings = tmp_path / "node.toml"
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        taken = holder.getsockname()[1]
        text = testbed.SETTINGS_TEMPLATE.format(
            name="front-1",
            zone="a",
            front=taken,
            ready=testbed.free_port(),
            peers=testbed.free_port(),
            store=9,
        )
        settings.write_text(text)
        command = [sys.executable, "-m", "jackdawpass", "front"]
        done = subprocess.run(
            [*command, "--settings", str(settings)],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert done.returncode == 1
    assert f"cannot listen on 127.0.0.1:{taken}" in done.stderr
    assert "Traceback" not in done.stderr
