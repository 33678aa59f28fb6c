"""Graceful shutdown of the HTTP port of an instance."""

import collections.abc
import typing

from twisted.internet import defer
from twisted.protocols import policies
from twisted.web import server

POLL_SECONDS = 0.02


class InFlightRequests:
    """Requests that are being received or answered."""

    def __init__(self) -> None:
        self._requests: set[server.Request] = set()
        self.closing = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def transports(self) -> collections.abc.Set[typing.Any]:
        """Transports of the connections that carry a request."""
        return {
            request.channel.transport
            for request in self._requests
            if request.channel is not None
        }

    def add(self, request: server.Request) -> None:
        """Add a request whose first line has arrived."""
        self._requests.add(request)

    def discard(self, request: server.Request) -> None:
        """Remove a request that was answered or whose connection was lost."""
        self._requests.discard(request)


class _Request(server.Request):
    """Request that is counted and may close its connection after the reply."""

    def __init__(self, in_flight: InFlightRequests, *args: typing.Any) -> None:
        super().__init__(*args)
        self._in_flight = in_flight
        in_flight.add(self)

    def write(self, data: bytes) -> None:
        """Write a part of the reply; while draining, announce the close."""
        if self._in_flight.closing and not self.startedWriting:
            self.setHeader(b"Connection", b"close")
            if self.channel is not None:
                self.channel.persistent = False
        super().write(data)

    def finish(self) -> None:
        """Finish the reply and remove the request."""
        self._in_flight.discard(self)
        super().finish()

    def connectionLost(self, reason: typing.Any) -> None:
        """Remove the request, whose connection was lost."""
        self._in_flight.discard(self)
        super().connectionLost(reason)


def request_factory(
    in_flight: InFlightRequests,
) -> collections.abc.Callable[..., server.Request]:
    """Return a request factory that counts the requests of a site."""
    return lambda *args: _Request(in_flight, *args)


class HttpPort:
    """The listening port of an instance and its connections.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    site : Site
        Serves the requests.
    in_flight : InFlightRequests
        Counts the requests of the site.
    """

    def __init__(
        self, reactor: typing.Any, site: server.Site, in_flight: InFlightRequests
    ) -> None:
        self._reactor = reactor
        self._in_flight = in_flight
        site.requestFactory = request_factory(in_flight)  # type: ignore[assignment]
        self._factory = policies.WrappingFactory(site)
        self._factory.noisy = False
        self._listening: typing.Any = None

    @property
    def number(self) -> int:
        """Number of the listening port."""
        return int(self._listening.getHost().port)

    def listen(self, host: str, port: int) -> None:
        """Listen for callers."""
        self._listening = self._reactor.listenTCP(port, self._factory, interface=host)

    def announce_close(self) -> None:
        """Close each connection after its next reply, with `Connection: close`."""
        self._in_flight.closing = True

    def stop_listening(self) -> defer.Deferred[None]:
        """Stop accepting connections."""
        return defer.maybeDeferred(self._listening.stopListening)

    def close_idle(self) -> int:
        """Close connections without a request; return how many are still open."""
        busy = self._in_flight.transports
        for connection in list(self._factory.protocols):
            if connection not in busy:
                connection.loseConnection()
        return len(self._factory.protocols)
