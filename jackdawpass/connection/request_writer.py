"""Writing of requests to a connection."""

import contextlib
import typing

from twisted.internet import interfaces
from zope.interface import implementer


class RequestWriter:
    """Writer of one request after the other to a transport.

    Parameters
    ----------
    transport : ITCPTransport
        Transport of the connection.
    """

    def __init__(self, transport: typing.Any) -> None:
        self._transport = transport
        self._rest: _RestOfRequest | None = None

    @property
    def idle(self) -> bool:
        """True if the transport has handed all requests to the socket."""
        return self._rest is None or self._rest.written

    def write(self, request: bytes) -> None:
        """Write a request; the writer must be idle.

        The socket gets as much as it accepts at once, while the transport would wait
        for the next iteration of the reactor.
        """
        if not self.idle:
            raise RuntimeError("the previous request is not written yet")
        has_socket: bool = interfaces.ISystemHandle.providedBy(self._transport)
        if not has_socket:
            self._transport.write(request)
            return
        handle: typing.Any = self._transport.getHandle()
        sent = 0
        with contextlib.suppress(OSError):
            sent = handle.send(request)
        if sent < len(request):
            self._rest = _RestOfRequest(self._transport, request[sent:])
            self._transport.registerProducer(self._rest, False)


@implementer(interfaces.IPullProducer)
class _RestOfRequest:
    """The part of a request that the socket did not accept at once."""

    def __init__(self, transport: typing.Any, data: bytes) -> None:
        self._transport = transport
        self._data = data
        self._written = False

    @property
    def written(self) -> bool:
        """True once the socket has accepted all bytes."""
        return self._written

    def resumeProducing(self) -> None:
        """Write the bytes; the transport calls again when its buffer is empty."""
        data, self._data = self._data, b""
        if data:
            self._transport.write(data)
        else:
            self._written = True
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost."""
