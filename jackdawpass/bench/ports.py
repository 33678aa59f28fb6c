"""Ports for the processes that benchmarks and tests start."""

import collections.abc
import fcntl
import os
import pathlib
import random
import socket
import tempfile
import typing

# Below the ephemeral range, so that no outgoing connection takes the port of a process
# that is down.
PORTS = range(20_000, 32_000)

_reserved: set[int] = set()
_lock_file: typing.BinaryIO | None = None


def reserve(
    host: str = "127.0.0.1", ports: collections.abc.Sequence[int] = PORTS
) -> int:
    """Return a free port that no other call returns, in any process, until this exits.

    Parameters
    ----------
    host : str
        Address at which the port must be free.
    ports : sequence of int
        Ports to choose from.

    Raises
    ------
    RuntimeError
        If all ports are reserved or in use.
    """
    for port in random.SystemRandom().sample(ports, len(ports)):
        if port not in _reserved and _lock(port):
            _reserved.add(port)
            if _is_free(host, port):
                return port
    raise RuntimeError(f"no free port from {ports[0]} to {ports[-1]}; end processes")


def _lock(port: int) -> bool:
    """Lock the byte of a file that stands for a port, until this process exits."""
    global _lock_file
    if _lock_file is None:
        path = pathlib.Path(tempfile.gettempdir(), f"jackdawpass-ports-{os.getuid()}")
        _lock_file = path.open("ab")
    try:
        fcntl.lockf(_lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as listening:
        try:
            listening.bind((host, port))
        except OSError:
            return False
    return True
