"""Ports on which a process listens for connections."""

import typing

from twisted.internet import error
from twisted.python import failure

# Backlog of connections to accept; a full backlog delays new callers by seconds.
MAX_WAITING_CONNECTIONS = 512


def stop_listening(port: typing.Any) -> None:
    """Accept all connections that wait at a port, then close it at once.

    `stopListening` closes the port an iteration of the event loop later; the kernel
    would reset the connections that were established meanwhile.

    Parameters
    ----------
    port : tcp.Port
        The listening port.
    """
    port.stopReading()
    # Ends at the first accept that would block.
    port.numberAccepts = MAX_WAITING_CONNECTIONS
    port.doRead()
    port.connectionLost(failure.Failure(error.ConnectionDone()))
