"""Forwarding of callers' whole requests to aggregators, first to those of the zone."""

import collections.abc
import functools
import math
import random
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, ingress, reply_limits
from jackdawpass.process.serving import aggregator_link, aggregators, peer_wire

# How long stale aggregators are trusted before this instance checks the store itself: a
# change has at least three seconds to come into force.
STALE_SECONDS = 0.4
# How long aggregators of other zones are pinged after the last time that no local one
# was ready. The pings cross zones, where traffic is charged.
REMOTE_LINK_SECONDS = 5.0
# Time before the caller's deadline at which a forwarded request is answered with 504.
ANSWER_MARGIN_SECONDS = 0.005

Encode = collections.abc.Callable[[float, int], bytes]
Fallback = collections.abc.Callable[[], ingress.Exchange]

_STATE_ORDER = tuple(peer_wire.State)
_LOST_ANSWER = ingress.OutgoingResponse(
    502, (), b"the instance that asked the targets was lost; check before repeating"
)
_TIMEOUT_ANSWER = ingress.OutgoingResponse(504, (), b"no answer before the deadline")


class ForwardedRequest:
    """A request forwarded to an aggregator."""

    def __init__(
        self,
        reactor: typing.Any,
        forwarder: "Forwarder",
        encode: Encode,
        timeout: float,
        on_response: ingress.OnResponse,
        fallback: Fallback,
    ) -> None:
        self._reactor = reactor
        self._forwarder = forwarder
        self._encode = encode
        self._deadline = clock.monotonic() + timeout
        self._on_response = on_response
        self._fallback = fallback
        self._local_exchange: ingress.Exchange | None = None
        self._link: aggregator_link.AggregatorLink | None = None
        self._connection: http_connection.HttpConnection | None = None
        self._tried: set[str] = set()
        self._ended = False
        self._timer = reactor.callLater(
            max(0.0, timeout - ANSWER_MARGIN_SECONDS), self._on_deadline
        )

    def start(self) -> None:
        """Forward the request to an aggregator that was not tried yet."""
        link = self._forwarder.choose(self._tried)
        if link is None:
            self._end()
            self._local_exchange = self._fallback()
            return
        self._tried.add(link.member.name)
        self._link = link
        link.forwarded.add(self)
        link.pool.acquire(functools.partial(self._on_connection, link))

    def caller_gone(self) -> None:
        """Cancel the request."""
        if self._local_exchange is not None:
            self._local_exchange.caller_gone()
        self._end()

    def on_aggregator_lost(self) -> None:
        """Retry elsewhere if nothing was sent yet; otherwise answer with 502."""
        if self._connection is None:
            self._detach()
            self.start()
        else:
            self._finish(_LOST_ANSWER)

    def _on_connection(
        self,
        link: aggregator_link.AggregatorLink,
        connection: http_connection.HttpConnection | None,
    ) -> None:
        if self._link is not link:
            if connection is not None:
                link.pool.release(connection)
            return
        if connection is None:
            link.mark_lost()
            return
        remaining = self._deadline - clock.monotonic()
        self._connection = connection
        connection.send(
            self._encode(remaining, self._forwarder.version), self._on_reply
        )

    def _on_reply(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        connection, self._connection = self._connection, None
        link = self._link
        if self._ended or connection is None or link is None:
            return
        if isinstance(outcome, http_connection.ExchangeError):
            self._finish(_LOST_ANSWER)
            return
        link.pool.release(connection)
        report = peer_wire.decode_report(outcome)
        if report is not None:
            link.update_report(report)
        if outcome.header(peer_wire.NOT_TAKEN) is not None:
            self._detach()
            self.start()
            return
        if report is not None:
            self._forwarder.on_version(report.version)
        headers = peer_wire.caller_headers(outcome.headers)
        self._finish(ingress.OutgoingResponse(outcome.status, headers, outcome.body))

    def _on_deadline(self) -> None:
        self._finish(_TIMEOUT_ANSWER)

    def _finish(self, response: ingress.OutgoingResponse) -> None:
        if not self._ended:
            self._end()
            self._on_response(response)

    def _end(self) -> None:
        self._ended = True
        if self._timer.active():
            self._timer.cancel()
        self._detach()

    def _detach(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._link is not None:
            self._link.forwarded.discard(self)
            self._link = None


class Forwarder:
    """Links to the aggregators, and the choice of one for each request.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    generator : random.Random
        Breaks ties between equally good aggregators.
    memory : ReplyMemory or None
        Memory for unfinished replies.
    """

    def __init__(
        self,
        reactor: typing.Any,
        generator: random.Random,
        memory: reply_limits.ReplyMemory | None = None,
    ) -> None:
        self._reactor = reactor
        self._random = generator
        self._memory = memory
        self._links: dict[str, aggregator_link.AggregatorLink] = {}
        self._local: dict[str, aggregators.Member] = {}
        # Aggregators of other zones; linked only while no local one is ready.
        self._remote: dict[str, aggregators.Member] = {}
        self._remote_needed_until = -math.inf
        self._last_fresh_at = clock.monotonic()
        self._version = 0

    @property
    def version(self) -> int:
        """Highest configuration version seen in an answer."""
        return self._version

    @property
    def ready(self) -> bool:
        """True while an aggregator accepts requests, even if only a stale one."""
        states = {link.report.state for link in self._links.values()}
        return bool(states & {peer_wire.State.READY, peer_wire.State.STALE})

    @property
    def fresh(self) -> bool:
        """True while an aggregator receives updates from the store."""
        return any(
            link.report.state is peer_wire.State.READY for link in self._links.values()
        )

    @property
    def reachable(self) -> bool:
        """True while an aggregator responds, even if it reaches only its own zone."""
        return self.choose(()) is not None

    def is_stale(self, now: float) -> bool:
        """Return whether all responding aggregators have been stale for too long."""
        is_late = now >= self._last_fresh_at + STALE_SECONDS
        return self.ready and not self.fresh and is_late

    def apply(
        self,
        members: collections.abc.Iterable[aggregators.Member],
        remote_members: collections.abc.Iterable[aggregators.Member] = (),
    ) -> None:
        """Replace the aggregators of the zone and those of other zones."""
        self._local = {member.name: member for member in members}
        self._remote = {member.name: member for member in remote_members}
        self._update_links(self._local | self._needed_remote(clock.monotonic()))

    def tick(self, now: float) -> None:
        """Link to aggregators of other zones while no local one is ready."""
        if self.fresh:
            self._last_fresh_at = now
        if not any(self._is_ready(name) for name in self._local):
            self._remote_needed_until = now + REMOTE_LINK_SECONDS
        self._update_links(self._local | self._needed_remote(now))

    def _needed_remote(self, now: float) -> dict[str, aggregators.Member]:
        return self._remote if now < self._remote_needed_until else {}

    def _is_ready(self, name: str) -> bool:
        link = self._links.get(name)
        return link is not None and link.report.state is peer_wire.State.READY

    def _update_links(self, wanted: dict[str, aggregators.Member]) -> None:
        for name in list(self._links):
            if self._links[name].member != wanted.get(name):
                self._links.pop(name).stop()
        for name, member in wanted.items():
            if name not in self._links:
                self._links[name] = aggregator_link.AggregatorLink(
                    self._reactor, member, self._memory
                )
                self._links[name].start()

    def on_version(self, version: int) -> None:
        """Record the configuration version of an answer."""
        self._version = max(self._version, version)

    def choose(
        self, tried: collections.abc.Collection[str]
    ) -> aggregator_link.AggregatorLink | None:
        """Return the aggregator for a request, or None if none is usable."""
        usable = [
            link
            for name, link in self._links.items()
            if name not in tried and link.report.state is not peer_wire.State.UNREADY
        ]
        if not usable:
            return None
        best = min(self._rank(link) for link in usable)
        chosen = [link for link in usable if self._rank(link) == best]
        least = min(len(link.forwarded) for link in chosen)
        return self._random.choice([x for x in chosen if len(x.forwarded) == least])

    def _rank(self, link: aggregator_link.AggregatorLink) -> tuple[bool, int, bool]:
        """Return the sort key of an aggregator; the lowest is tried first."""
        report = link.report
        is_older = report.version < self._version
        return (
            is_older,
            _STATE_ORDER.index(report.state),
            link.member.name not in self._local,
        )

    def forward_request(
        self,
        encode: Encode,
        timeout: float,
        on_response: ingress.OnResponse,
        fallback: Fallback,
    ) -> ForwardedRequest:
        """Forward a request to an aggregator, or to `fallback` if there is none.

        Parameters
        ----------
        encode : callable
            Encodes the request, given the remaining seconds and the version seen.
        timeout : float
            Seconds until the caller's deadline.
        """
        request = ForwardedRequest(
            self._reactor, self, encode, timeout, on_response, fallback
        )
        request.start()
        return request
