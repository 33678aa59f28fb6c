"""Processes that experiments start, and their resource usage."""

import collections.abc
import json
import os
import pathlib
import subprocess
import sys
import typing

_PACKAGE_ROOT = pathlib.Path(__file__).resolve().parents[2]
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def start(module: str, *arguments: str) -> subprocess.Popen[str]:
    """Start a module of this package with pipes as standard input and output."""
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(_PACKAGE_ROOT)},
    )


class Server:
    """A process whose first line of output is a JSON object with its ports.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments of the process.
    module : str
        Module to run; by default the product's command line.
    """

    def __init__(
        self,
        arguments: collections.abc.Sequence[str],
        module: str = "jackdawpass",
    ) -> None:
        self._popen = start(module, *arguments)
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            code = self._popen.wait()
            raise RuntimeError(f"{arguments[:2]} exited with code {code}")
        self._ports: dict[str, typing.Any] = json.loads(line)

    @property
    def ports(self) -> dict[str, typing.Any]:
        """Ports that the process has printed."""
        return self._ports

    @property
    def port(self) -> int:
        """Main port."""
        return int(self._ports["port"])

    @property
    def url(self) -> str:
        """Base URL of the main port."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def cpu_seconds(self) -> float:
        """User and system processor time used so far."""
        text = pathlib.Path(f"/proc/{self._popen.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND

    @property
    def resident_bytes(self) -> int:
        """Resident memory of the process."""
        text = pathlib.Path(f"/proc/{self._popen.pid}/statm").read_text()
        return int(text.split()[1]) * _PAGE_BYTES

    def terminate(self) -> None:
        """Send SIGTERM, on which the process stops gracefully."""
        self._popen.terminate()

    def wait(self, timeout: float) -> None:
        """Wait until the process has exited."""
        self._popen.wait(timeout)

    def stop(self) -> None:
        """Kill the process if it still runs, reap it and close its pipes."""
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()
        for pipe in (self._popen.stdin, self._popen.stdout):
            if pipe is not None:
                pipe.close()
