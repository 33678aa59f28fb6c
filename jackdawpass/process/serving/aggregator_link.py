"""Link to one aggregator: its connections and its last reported state."""

import typing

from twisted.internet import task

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, pool, reply_limits
from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, peer_wire
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

# Interval of pings to an aggregator, and their timeout. A round trip in a zone takes
# 0.2 ms, and requests wait for an aggregator that was lost without notice.
PING_SECONDS = 0.4
# A tick that is this late means that this instance stalled, not the aggregator.
STALL_SECONDS = 0.25
CONNECT_TIMEOUT_SECONDS = 0.2
# Concurrent requests from one instance to one aggregator.
MAX_CONNECTIONS = 24


class ForwardedRequest(typing.Protocol):
    """A request forwarded over the link."""

    def on_aggregator_silent(self, link: "AggregatorLink") -> None:
        """Try another aggregator as well."""


class AggregatorLink:
    """Connections to one aggregator, and its last reported state."""

    def __init__(
        self,
        reactor: typing.Any,
        member: aggregators.Member,
        memory: reply_limits.ReplyMemory | None,
    ) -> None:
        self._reactor = reactor
        self.member = member
        self.report = peer_wire.Report(peer_wire.State.UNREADY, 0)
        self.limits: routes.CallerLimits | None = None
        self.forwarded: set[ForwardedRequest] = set()
        self._pool = pool.Pool(
            reactor,
            member.host,
            member.port,
            MAX_CONNECTIONS,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            memory=memory,
        )
        self._ping: http_connection.HttpConnection | None = None
        self._ping_pending = False
        self._ticked_at = 0.0
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor

    @property
    def pool(self) -> pool.Pool:
        """Connection pool to the aggregator."""
        return self._pool

    def start(self) -> None:
        """Start pinging the aggregator."""
        self._ticked_at = clock.monotonic()
        self._ticker.start(PING_SECONDS, now=True)

    def stop(self) -> None:
        """Stop pinging; requests already forwarded continue."""
        self._ticker.stop()
        self._pool.close()

    def update_report(self, report: peer_wire.Report) -> None:
        """Store the aggregator's reported state and version."""
        if report.state is not self.report.state:
            self._log(report.state)
        self.report = report

    def mark_silent(self) -> None:
        """Mark the aggregator unready, and tell the requests forwarded to it."""
        if self.report.state is not peer_wire.State.UNREADY:
            self._log(peer_wire.State.UNREADY)
        self.report = peer_wire.Report(peer_wire.State.UNREADY, self.report.version)
        for request in list(self.forwarded):
            request.on_aggregator_silent(self)

    def _log(self, state: peer_wire.State) -> None:
        _logger.info(
            "aggregator_changed",
            aggregator=self.member.name,
            state=state.value,
            was=self.report.state.value,
            handed=len(self.forwarded),
        )

    def _tick(self) -> None:
        now = clock.monotonic()
        stalled = now - self._ticked_at > PING_SECONDS + STALL_SECONDS
        self._ticked_at = now
        if self._ping_pending:
            if stalled:
                return
            ping, self._ping = self._ping, None
            if ping is not None:
                ping.abort()
            self._ping_pending = False
            self.mark_silent()
        self._ping_pending = True
        self._pool.acquire(self._on_connection)

    def _on_connection(self, connection: http_connection.HttpConnection | None) -> None:
        if connection is None:
            self._ping_pending = False
            self.mark_silent()
            return
        if not self._ping_pending or self._ping is not None:
            self._pool.release(connection)
            return
        self._ping = connection
        connection.send(peer_wire.PING, self._on_ping_reply)

    def _on_ping_reply(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        ping, self._ping = self._ping, None
        self._ping_pending = False
        if isinstance(outcome, http_connection.ExchangeError) or ping is None:
            if outcome is not http_connection.ExchangeError.STALE:
                self.mark_silent()
            return
        self._pool.release(ping)
        report = peer_wire.decode_report(outcome)
        if report is None:
            self.mark_silent()
        else:
            self.limits = peer_wire.decode_limits(outcome)
            self.update_report(report)
