"""A caller's request forwarded to an aggregator, and once more to a second one."""

import collections.abc
import functools
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, ingress
from jackdawpass.process import logs
from jackdawpass.process.serving import aggregator_link, peer_wire
from jackdawpass.request import model

_logger = logs.get_logger(__name__)

# Time before the caller's deadline at which a forwarded request is answered with 504.
ANSWER_MARGIN_SECONDS = 0.005

# Encodes a request, given the remaining seconds, the configuration version seen, and
# whether another aggregator may already be serving it.
Encode = collections.abc.Callable[[float, int, bool], bytes]
Fallback = collections.abc.Callable[[], ingress.Exchange]

_LOST_ANSWER = ingress.OutgoingResponse(
    502, (), b"the instance that asked the targets was lost; check before repeating"
)
_TIMEOUT_ANSWER = ingress.OutgoingResponse(504, (), b"no answer before the deadline")


class Links(typing.Protocol):
    """Links to the aggregators."""

    @property
    def version(self) -> int:
        """Highest configuration version by which a request was served."""

    def choose(
        self, tried: collections.abc.Collection[str]
    ) -> aggregator_link.AggregatorLink | None:
        """Return the aggregator for a request, or None if none is usable."""

    def on_version(self, version: int) -> None:
        """Record the configuration version by which a request is served."""

    def on_notices(
        self, now: float, notices: collections.abc.Iterable[model.TargetNotice]
    ) -> None:
        """Record what an aggregator has learned about targets."""


class ForwardedRequest:
    """A request forwarded to an aggregator.

    An aggregator that falls silent may still be serving the request, and answers it
    when it wakes up. Meanwhile the request goes to a second aggregator, which serves it
    if it may be repeated. The first answer is used. A request that must run at most
    once waits for the first aggregator.

    Parameters
    ----------
    reactor : IReactorTime
        Sets the timer of the deadline.
    links : Links
        Links to the aggregators.
    request_id : str
        Id of the request in log lines.
    encode : callable
        Encodes the request for an aggregator.
    timeout : float
        Seconds until the caller's deadline.
    on_response : callable
        Receives the answer.
    fallback : callable
        Serves the request if no aggregator takes it.
    """

    def __init__(
        self,
        reactor: typing.Any,
        links: Links,
        request_id: str,
        encode: Encode,
        timeout: float,
        on_response: ingress.OnResponse,
        fallback: Fallback,
    ) -> None:
        self._reactor = reactor
        self._links = links
        self._request_id = request_id
        self._encode = encode
        self._started = clock.monotonic()
        self._deadline = self._started + timeout
        self._on_response = on_response
        self._fallback = fallback
        self._local_exchange: ingress.Exchange | None = None
        # Link whose pool has not provided a connection yet.
        self._pending: aggregator_link.AggregatorLink | None = None
        self._connections: dict[
            aggregator_link.AggregatorLink, http_connection.HttpConnection
        ] = {}
        self._tried: set[str] = set()
        self._is_repeat = False
        self._ended = False
        self._timer = self._start_timer(self._deadline)

    def start(self) -> None:
        """Forward the request to an aggregator that was not tried yet."""
        if self._ended:
            return
        link = self._links.choose(self._tried)
        if link is not None:
            self._tried.add(link.member.name)
            self._pending = link
            link.forwarded.add(self)
            link.pool.acquire(functools.partial(self._on_connection, link))
        elif not self._is_repeat:
            self._end()
            self._local_exchange = self._fallback()
        elif not self._connections:
            self._finish(_LOST_ANSWER)

    def caller_gone(self) -> None:
        """Cancel the request."""
        if self._local_exchange is not None:
            self._local_exchange.caller_gone()
        self._end()

    def expire(self) -> None:
        """Answer at once, as at the deadline."""
        if self._local_exchange is not None:
            self._local_exchange.expire()
        else:
            self._on_deadline()

    def on_aggregator_silent(self, link: aggregator_link.AggregatorLink) -> None:
        """Try another aggregator; keep an exchange that may still be answered."""
        if self._pending is link:
            self._pending = None
            link.forwarded.discard(self)
            self.start()
        elif link in self._connections:
            self._repeat("silent", link)

    def _repeat(self, reason: str, link: aggregator_link.AggregatorLink) -> None:
        """Send the request, which may be running, to a second aggregator."""
        if self._is_repeat:
            if not self._connections and self._pending is None:
                self._finish(_LOST_ANSWER)
            return
        self._is_repeat = True
        _logger.info(
            "request_forwarded_again",
            self._request_id,
            aggregator=link.member.name,
            reason=reason,
        )
        self.start()

    def _on_connection(
        self,
        link: aggregator_link.AggregatorLink,
        connection: http_connection.HttpConnection | None,
    ) -> None:
        if self._pending is not link:
            if connection is not None:
                link.pool.release(connection)
            return
        if connection is None:
            # Reports the silence to this request as well.
            link.mark_silent()
            return
        self._pending = None
        self._connections[link] = connection
        remaining = self._deadline - clock.monotonic()
        request = self._encode(remaining, self._links.version, self._is_repeat)
        on_reply = functools.partial(self._on_reply, link, self._is_repeat)
        on_interim = functools.partial(self._on_interim, link)
        connection.send(request, on_reply, on_interim=on_interim)

    def _on_interim(
        self, link: aggregator_link.AggregatorLink, interim: dialect.HttpReply
    ) -> None:
        """Record the version by which an aggregator has begun to serve the request."""
        report = peer_wire.decode_report(interim)
        if report is not None:
            link.update_report(report)
            self._links.on_version(report.version)

    def _on_reply(
        self,
        link: aggregator_link.AggregatorLink,
        is_repeat: bool,
        outcome: dialect.HttpReply | http_connection.ExchangeError,
    ) -> None:
        connection = self._connections.pop(link, None)
        if self._ended or connection is None:
            return
        link.forwarded.discard(self)
        if isinstance(outcome, http_connection.ExchangeError):
            self._repeat("lost", link)
            return
        link.pool.release(connection)
        report = peer_wire.decode_report(outcome)
        if report is not None:
            link.update_report(report)
        notices = peer_wire.decode_notices(outcome)
        if notices:
            self._links.on_notices(clock.monotonic(), notices)
        if outcome.header(peer_wire.NOT_TAKEN) is not None:
            self._on_declined(is_repeat, outcome)
            return
        if report is not None:
            self._links.on_version(report.version)
        if is_repeat and outcome.status == 503:
            # The first aggregator may have run what the second one has not.
            self._finish(_LOST_ANSWER)
            return
        headers = peer_wire.caller_headers(outcome.headers)
        self._finish(ingress.OutgoingResponse(outcome.status, headers, outcome.body))

    def _on_declined(self, is_repeat: bool, reply: dialect.HttpReply) -> None:
        is_outstanding = bool(self._connections) or self._pending is not None
        runs_once_within = peer_wire.decode_runs_once(reply)
        if runs_once_within is not None and is_outstanding:
            until = min(self._deadline, self._started + runs_once_within)
            self._stop_timer()
            self._timer = self._start_timer(until)
        elif runs_once_within is not None or peer_wire.forbids_repeat(reply):
            self._finish(_LOST_ANSWER)
        elif is_repeat or not is_outstanding:
            self.start()

    def _start_timer(self, until: float) -> typing.Any:
        delay = until - ANSWER_MARGIN_SECONDS - clock.monotonic()
        return self._reactor.callLater(max(0.0, delay), self._on_deadline)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def _on_deadline(self) -> None:
        self._finish(_TIMEOUT_ANSWER)

    def _finish(self, response: ingress.OutgoingResponse) -> None:
        if not self._ended:
            self._end()
            self._on_response(response)

    def _end(self) -> None:
        self._ended = True
        self._stop_timer()
        connections, self._connections = self._connections, {}
        for link, connection in connections.items():
            link.forwarded.discard(self)
            connection.abort()
        if self._pending is not None:
            self._pending.forwarded.discard(self)
            self._pending = None
