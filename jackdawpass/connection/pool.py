"""Connections of this instance to one target."""

import collections
import collections.abc
import typing

from twisted.internet import endpoints, interfaces, protocol

from jackdawpass.connection import exchange

CONNECT_TIMEOUT_SECONDS = 1.0

OnConnection = collections.abc.Callable[[exchange.Exchange | None], None]


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, owner: exchange.Owner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: interfaces.IAddress | None) -> exchange.Exchange:
        return exchange.Exchange(self._owner)


class Pool:
    """Keeps at most `limit` connections to a target, opening and idle ones included.

    Parameters
    ----------
    reactor : IReactorTCP
        The process's reactor.
    host, port : str, int
        Address of the target.
    limit : int
        Largest number of connections; see `process.shares`.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int, limit: int) -> None:
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._factory = _Factory(self)
        self._limit = limit
        self._open: set[exchange.Exchange] = set()
        self._connecting = 0
        self._idle: collections.deque[exchange.Exchange] = collections.deque()
        self._waiting: collections.deque[OnConnection] = collections.deque()
        self._closed = False

    @property
    def size(self) -> int:
        """Number of connections, those being opened included."""
        return len(self._open) + self._connecting

    @property
    def idle(self) -> int:
        """Number of connections without an exchange."""
        return len(self._idle)

    def set_limit(self, limit: int) -> None:
        """Change the largest number of connections; surplus idle ones close."""
        self._limit = limit
        while self.size > limit and self._idle:
            self._discard(self._idle.popleft())

    def acquire(self, on_connection: OnConnection) -> None:
        """Call back with an idle connection, or with None when none can be opened."""
        while self._idle:
            connection = self._idle.pop()
            if connection in self._open:
                on_connection(connection)
                return
        self._waiting.append(on_connection)
        self._open_more()

    def close(self) -> None:
        """Close idle connections and refuse new ones; busy ones close when idle."""
        self._closed = True
        while self._idle:
            self._discard(self._idle.popleft())

    def on_idle(self, connection: exchange.Exchange) -> None:
        """Take back a connection whose reply is complete."""
        if self._closed or self.size > self._limit:
            self._discard(connection)
        elif self._waiting:
            self._waiting.popleft()(connection)
        else:
            self._idle.append(connection)

    def on_closed(self, connection: exchange.Exchange) -> None:
        """Forget a closed connection and open another for whoever waits."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_more()

    def _discard(self, connection: exchange.Exchange) -> None:
        self._open.discard(connection)
        connection.abort()

    def _open_more(self) -> None:
        if self._closed:
            self._refuse_waiting()
            return
        while self._connecting < len(self._waiting) and self.size < self._limit:
            self._connecting += 1
            connecting = self._endpoint.connect(self._factory)
            connecting.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connected: typing.Any) -> None:
        self._connecting -= 1
        self._open.add(connected)
        self.on_idle(connected)

    def _connect_failed(self, reason: object) -> None:
        self._connecting -= 1
        if self._waiting:
            self._waiting.popleft()(None)

    def _refuse_waiting(self) -> None:
        while self._waiting:
            self._waiting.popleft()(None)
