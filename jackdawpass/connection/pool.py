"""Pool of connections from this instance to one target."""

import collections
import collections.abc
import typing

from twisted.internet import interfaces, protocol
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, reply_limits

# A connect takes 6 ms; a target that takes longer than this is considered lost.
CONNECT_TIMEOUT_SECONDS = 0.3

# A target may accept a new connection before it detects that an aborted one is closed.
# An aborted connection counts as open for this time, so that the target never has more
# than `limit` connections.
ABORT_GRACE_SECONDS = 0.02

OnReply = collections.abc.Callable[[dialect.HttpReply], None]
OnConnection = collections.abc.Callable[[http_connection.HttpConnection | None], None]


class _Factory(protocol.ClientFactory):
    """Factory of the connections of a pool.

    `twisted.internet.endpoints` is not used: its import takes 40 ms at each start, and
    its wrapper would be called for each read of each connection.
    """

    noisy = False

    def __init__(
        self,
        owner: "Pool",
        memory: reply_limits.ReplyMemory | None,
    ) -> None:
        self._owner = owner
        self._memory = memory

    def buildProtocol(
        self, addr: interfaces.IAddress | None
    ) -> http_connection.HttpConnection:
        return http_connection.HttpConnection(self._owner, memory=self._memory)

    def clientConnectionFailed(
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        self._owner.on_connect_failed()


class Pool:
    """At most `limit` connections to a target, including opening and idle ones.

    A spare connection is opened when concurrent requests take the last idle one. A
    connection that is lost while in use is replaced. Few requests therefore wait for a
    connect.

    Parameters
    ----------
    reactor : IReactorTCP
        The reactor of the process.
    host, port : str, int
        Address of the target.
    limit : int
        Maximum number of connections; see `process.shares`.
    linger_seconds : float
        Maximum time that an abandoned exchange may take to end; 0 closes its
        connection at once.
    connect_timeout : float
        Seconds after which an attempt to connect fails.
    memory : ReplyMemory or None
        Memory that unfinished replies share with those of other pools.
    """

    def __init__(
        self,
        reactor: typing.Any,
        host: str,
        port: int,
        limit: int,
        linger_seconds: float = 0.0,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        memory: reply_limits.ReplyMemory | None = None,
    ) -> None:
        self._reactor = reactor
        self._linger_seconds = linger_seconds
        self._host = host
        self._port = port
        self._connect_timeout = connect_timeout
        self._factory = _Factory(self, memory)
        self._limit = limit
        self._open: set[http_connection.HttpConnection] = set()
        self._connecting = 0
        self._aborted = 0
        self._idle: collections.deque[http_connection.HttpConnection] = (
            collections.deque()
        )
        self._waiting: collections.deque[OnConnection] = collections.deque()
        self._returned: collections.deque[http_connection.HttpConnection] = (
            collections.deque()
        )
        self._handing_out = False
        self._closed = False

    @property
    def size(self) -> int:
        """Number of connections, including those being opened or just aborted."""
        return len(self._open) + self._connecting + self._aborted

    @property
    def idle(self) -> int:
        """Number of connections without an exchange."""
        return len(self._idle)

    def set_limit(self, limit: int) -> None:
        """Change the maximum number of connections and close surplus idle ones."""
        self._limit = limit
        surplus = self.size - limit
        while surplus > 0 and self._idle:
            self._idle.popleft().abort()
            surplus -= 1
        self._open_more()

    def acquire(self, on_connection: OnConnection) -> None:
        """Call back with an idle connection, or with None when none can be opened."""
        connection = self.take_idle()
        if connection is None:
            self._waiting.append(on_connection)
            self._open_more()
            return
        if not self._idle and len(self._open) > 1:
            # Two connections are in use at once, so a third may be needed soon.
            self._open_spare()
        on_connection(connection)

    def take_idle(self) -> http_connection.HttpConnection | None:
        """Return an idle connection, or None; no connection is opened."""
        while self._idle:
            # The target is least likely to close the most recently used connection.
            connection = self._idle.pop()
            if connection.usable(clock.monotonic()):
                return connection
            connection.abort()
        return None

    def abandon(
        self,
        connection: http_connection.HttpConnection,
        at_once: bool = False,
        on_reply: OnReply | None = None,
    ) -> None:
        """Abandon an exchange whose reply is no longer needed.

        If the reply arrives soon, keeping the connection until then is cheaper for the
        target than a new connection. With `at_once`, the connection is closed instead,
        which frees the place in the queue of a target that is full.

        `on_reply` is called with the reply, without its body, if it arrives.
        """
        if at_once or self._linger_seconds <= 0:
            connection.abort()
            return
        timer = self._reactor.callLater(self._linger_seconds, connection.abort)

        def on_done(outcome: dialect.HttpReply | http_connection.ExchangeError) -> None:
            if timer.active():
                timer.cancel()
            if isinstance(outcome, dialect.HttpReply):
                if on_reply is not None:
                    on_reply(outcome)
                self.release(connection)

        connection.discard_reply(on_done)

    def release(self, connection: http_connection.HttpConnection) -> None:
        """Return a connection after a complete reply or without any request sent."""
        self._returned.append(connection)
        if self._handing_out:
            # A request that has ended meanwhile returns its connection at once; the
            # loop below hands it to the next one without recursion.
            return
        self._handing_out = True
        try:
            while self._returned:
                self._hand_out(self._returned.popleft())
        finally:
            self._handing_out = False

    def _hand_out(self, connection: http_connection.HttpConnection) -> None:
        if not connection.open:
            return
        if connection.busy:
            raise RuntimeError("a busy connection cannot be reused; abort it instead")
        if self.size > self._limit:
            connection.abort()
        elif self._waiting:
            self._waiting.popleft()(connection)
        elif self._closed:
            connection.abort()
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close connections that are idle, now or later, unless requests wait."""
        self._closed = True
        while self._idle:
            self._idle.popleft().abort()

    def on_open(self, connection: http_connection.HttpConnection) -> None:
        """Add a new connection."""
        self._connecting -= 1
        self._open.add(connection)
        self.release(connection)

    def on_connect_failed(self) -> None:
        """Refuse waiting requests if no open connection remains to wait for."""
        self._connecting -= 1
        if self._open:
            self._open_more()
        else:
            # Another connect would fail as well.
            self._refuse_waiting()

    def on_closed(self, connection: http_connection.HttpConnection) -> None:
        """Remove a closed connection and open another one for waiting requests."""
        was_idle = connection in self._idle
        if was_idle:
            self._idle.remove(connection)
        self._open.discard(connection)
        if connection.aborted:
            self._aborted += 1
            self._reactor.callLater(
                ABORT_GRACE_SECONDS, self._on_abort_grace_end, was_idle
            )
        else:
            self._reopen(was_idle)

    def _on_abort_grace_end(self, was_idle: bool) -> None:
        self._aborted -= 1
        self._reopen(was_idle)

    def _reopen(self, was_idle: bool) -> None:
        self._open_more()
        if not was_idle and not self._idle:
            self._open_spare()

    def _open_more(self) -> None:
        while self._connecting < len(self._waiting) and self.size < self._limit:
            self._connect()

    def _open_spare(self) -> None:
        if not self._closed and not self._connecting and self.size < self._limit:
            self._connect()

    def _connect(self) -> None:
        self._connecting += 1
        self._reactor.connectTCP(
            self._host, self._port, self._factory, self._connect_timeout
        )

    def _refuse_waiting(self) -> None:
        refused, self._waiting = self._waiting, collections.deque()
        for on_connection in refused:
            on_connection(None)
