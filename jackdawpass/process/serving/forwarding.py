"""Hands callers' requests whole to aggregators, first to those of the zone."""

import collections.abc
import functools
import math
import random
import typing

from twisted.internet import task

from jackdawpass import clock
from jackdawpass.connection import dialect, http_connection, ingress, pool
from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, peer_wire

_logger = logs.get_logger(__name__)

# Time between questions to an aggregator, and the longest time for its answer: a
# round trip within a zone takes 0.2 ms, and what it was handed is lost with it.
PING_SECONDS = 0.4
# A tick that comes so late says that this instance stood still, not the aggregator.
STALL_SECONDS = 0.25
CONNECT_TIMEOUT_SECONDS = 0.2
# How long aggregators that are stale are trusted before this instance looks itself: a
# change has three seconds or more to be in force.
STALE_SECONDS = 0.4
# How long aggregators of other zones are asked for their state after the zone's own
# ones were last out of reach: the questions cross zones, where bytes are priced.
SUBSTITUTE_SECONDS = 5.0
# Requests that one instance hands to one aggregator at once.
MAX_CONNECTIONS = 24
# Time before the caller's deadline at which a lost hand-over is answered.
ANSWER_SECONDS = 0.005

Encode = collections.abc.Callable[[float, int], bytes]
Fallback = collections.abc.Callable[[], ingress.Exchange]

_ORDER = tuple(peer_wire.State)
_LOST = ingress.OutgoingAnswer(
    502, (), b"the instance that asked the targets was lost; check before repeating"
)
_LATE = ingress.OutgoingAnswer(504, (), b"no answer before the deadline")


class Link:
    """The way to one aggregator, and what is known of it."""

    def __init__(self, reactor: typing.Any, member: aggregators.Member) -> None:
        self._reactor = reactor
        self.member = member
        self.report = peer_wire.Report(peer_wire.State.UNREADY, 0)
        self.handed: set[ForwardedRequest] = set()
        self._pool = pool.Pool(
            reactor,
            member.host,
            member.port,
            MAX_CONNECTIONS,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )
        self._ping: http_connection.HttpConnection | None = None
        self._asked = False
        self._ticked_at = 0.0
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor

    @property
    def pool(self) -> pool.Pool:
        """Connections to the aggregator."""
        return self._pool

    def start(self) -> None:
        """Begin to ask for its state."""
        self._ticked_at = clock.monotonic()
        self._ticker.start(PING_SECONDS, now=True)

    def stop(self) -> None:
        """Ask no more; what was handed over goes on."""
        self._ticker.stop()
        self._pool.close()

    def note(self, report: peer_wire.Report) -> None:
        """Take over what the aggregator says of itself."""
        if report.state is not self.report.state:
            self._log(report.state)
        self.report = report

    def lose(self) -> None:
        """Take the aggregator for gone, and give up what it was handed."""
        if self.report.state is not peer_wire.State.UNREADY:
            self._log(peer_wire.State.UNREADY)
        self.report = peer_wire.Report(peer_wire.State.UNREADY, self.report.version)
        for each in list(self.handed):
            each.lost()

    def _log(self, state: peer_wire.State) -> None:
        _logger.info(
            "aggregator_changed",
            aggregator=self.member.name,
            state=state.value,
            was=self.report.state.value,
            handed=len(self.handed),
        )

    def _tick(self) -> None:
        now = clock.monotonic()
        stalled = now - self._ticked_at > PING_SECONDS + STALL_SECONDS
        self._ticked_at = now
        if self._asked:
            if stalled:
                return
            ping, self._ping = self._ping, None
            if ping is not None:
                ping.abort()
            self._asked = False
            self.lose()
        self._asked = True
        self._pool.acquire(self._on_connection)

    def _on_connection(self, connection: http_connection.HttpConnection | None) -> None:
        if connection is None:
            self._asked = False
            self.lose()
            return
        if not self._asked or self._ping is not None:
            self._pool.release(connection)
            return
        self._ping = connection
        connection.send(peer_wire.PING, self._on_pong)

    def _on_pong(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        ping, self._ping = self._ping, None
        self._asked = False
        if isinstance(outcome, http_connection.ExchangeError) or ping is None:
            if outcome is not http_connection.ExchangeError.STALE:
                self.lose()
            return
        self._pool.release(ping)
        report = peer_wire.decode_report(outcome)
        if report is None:
            self.lose()
        else:
            self.note(report)


class ForwardedRequest:
    """One request that an aggregator is to answer."""

    def __init__(
        self,
        reactor: typing.Any,
        owner: "Forwarder",
        encode: Encode,
        patience: float,
        on_answer: ingress.OnAnswer,
        fallback: Fallback,
    ) -> None:
        self._reactor = reactor
        self._owner = owner
        self._encode = encode
        self._deadline = clock.monotonic() + patience
        self._on_answer = on_answer
        self._fallback = fallback
        self._own: ingress.Exchange | None = None
        self._link: Link | None = None
        self._connection: http_connection.HttpConnection | None = None
        self._tried: set[str] = set()
        self._ended = False
        self._timer = reactor.callLater(
            max(0.0, patience - ANSWER_SECONDS), self._on_deadline
        )

    def start(self) -> None:
        """Hand the request to an aggregator that was not tried yet."""
        link = self._owner.pick(self._tried)
        if link is None:
            self._end()
            self._own = self._fallback()
            return
        self._tried.add(link.member.name)
        self._link = link
        link.handed.add(self)
        link.pool.acquire(functools.partial(self._on_connection, link))

    def caller_gone(self) -> None:
        """Withdraw the request."""
        if self._own is not None:
            self._own.caller_gone()
        self._end()

    def lost(self) -> None:
        """Take the aggregator for gone: go on elsewhere if it was told nothing."""
        if self._connection is None:
            self._leave()
            self.start()
        else:
            self._finish(_LOST)

    def _on_connection(
        self, link: Link, connection: http_connection.HttpConnection | None
    ) -> None:
        if self._link is not link:
            if connection is not None:
                link.pool.release(connection)
            return
        if connection is None:
            link.lose()
            return
        remaining = self._deadline - clock.monotonic()
        self._connection = connection
        connection.send(self._encode(remaining, self._owner.version), self._on_done)

    def _on_done(
        self, outcome: dialect.HttpReply | http_connection.ExchangeError
    ) -> None:
        connection, self._connection = self._connection, None
        link = self._link
        if self._ended or connection is None or link is None:
            return
        if isinstance(outcome, http_connection.ExchangeError):
            self._finish(_LOST)
            return
        link.pool.release(connection)
        report = peer_wire.decode_report(outcome)
        if report is not None:
            link.note(report)
        if outcome.header(peer_wire.NOT_TAKEN) is not None:
            self._leave()
            self.start()
            return
        if report is not None:
            self._owner.on_version(report.version)
        headers = peer_wire.without_report(outcome.headers)
        self._finish(ingress.OutgoingAnswer(outcome.status, headers, outcome.body))

    def _on_deadline(self) -> None:
        self._finish(_LATE)

    def _finish(self, answer: ingress.OutgoingAnswer) -> None:
        if not self._ended:
            self._end()
            self._on_answer(answer)

    def _end(self) -> None:
        self._ended = True
        if self._timer.active():
            self._timer.cancel()
        self._leave()

    def _leave(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._link is not None:
            self._link.handed.discard(self)
            self._link = None


class Forwarder:
    """Knows the zone's aggregators and chooses one for each request.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    generator : random.Random
        Chooses among equals.
    """

    def __init__(self, reactor: typing.Any, generator: random.Random) -> None:
        self._reactor = reactor
        self._random = generator
        self._links: dict[str, Link] = {}
        self._own: dict[str, aggregators.Member] = {}
        # Aggregators of other zones, with links only while the own ones do not do.
        self._substitutes: dict[str, aggregators.Member] = {}
        self._needed_until = -math.inf
        self._fresh_at = clock.monotonic()
        self._version = 0

    @property
    def version(self) -> int:
        """Greatest configuration version that an answer came from."""
        return self._version

    @property
    def ready(self) -> bool:
        """True while an aggregator can be handed requests, if only a stale one."""
        states = {link.report.state for link in self._links.values()}
        return bool(states & {peer_wire.State.READY, peer_wire.State.STALE})

    @property
    def fresh(self) -> bool:
        """True while an aggregator hears of changes."""
        return any(
            link.report.state is peer_wire.State.READY for link in self._links.values()
        )

    @property
    def reachable(self) -> bool:
        """True while an aggregator answers, if only for its own zone."""
        return self.pick(()) is not None

    def is_stale(self, now: float) -> bool:
        """Return whether all that answer have been stale for long."""
        is_late = now >= self._fresh_at + STALE_SECONDS
        return self.ready and not self.fresh and is_late

    def apply(
        self,
        members: collections.abc.Iterable[aggregators.Member],
        substitutes: collections.abc.Iterable[aggregators.Member] = (),
    ) -> None:
        """Take over the zone's aggregators and those of other zones."""
        self._own = {member.name: member for member in members}
        self._substitutes = {member.name: member for member in substitutes}
        self._link(self._own | self._needed_substitutes(clock.monotonic()))

    def tick(self, now: float) -> None:
        """Ask aggregators of other zones while none of the own zone is ready."""
        if self.fresh:
            self._fresh_at = now
        if not any(self._is_ready(name) for name in self._own):
            self._needed_until = now + SUBSTITUTE_SECONDS
        self._link(self._own | self._needed_substitutes(now))

    def _needed_substitutes(self, now: float) -> dict[str, aggregators.Member]:
        return self._substitutes if now < self._needed_until else {}

    def _is_ready(self, name: str) -> bool:
        link = self._links.get(name)
        return link is not None and link.report.state is peer_wire.State.READY

    def _link(self, wanted: dict[str, aggregators.Member]) -> None:
        for name in list(self._links):
            if self._links[name].member != wanted.get(name):
                self._links.pop(name).stop()
        for name, member in wanted.items():
            if name not in self._links:
                self._links[name] = Link(self._reactor, member)
                self._links[name].start()

    def on_version(self, version: int) -> None:
        """Note the configuration version of an answer."""
        self._version = max(self._version, version)

    def pick(self, tried: collections.abc.Collection[str]) -> Link | None:
        """Return an aggregator for a request; None when there is none to ask."""
        usable = [
            link
            for name, link in self._links.items()
            if name not in tried and link.report.state is not peer_wire.State.UNREADY
        ]
        if not usable:
            return None
        best = min(self._rank(link) for link in usable)
        chosen = [link for link in usable if self._rank(link) == best]
        least = min(len(link.handed) for link in chosen)
        return self._random.choice([x for x in chosen if len(x.handed) == least])

    def _rank(self, link: Link) -> tuple[bool, int, bool]:
        """Return the order in which aggregators are tried, the first ones least."""
        report = link.report
        is_older = report.version < self._version
        return is_older, _ORDER.index(report.state), link.member.name not in self._own

    def forward_request(
        self,
        encode: Encode,
        patience: float,
        on_answer: ingress.OnAnswer,
        fallback: Fallback,
    ) -> ForwardedRequest:
        """Have a request answered by an aggregator, or by `fallback` without one.

        Parameters
        ----------
        encode : callable
            Encodes the request, given the seconds left and the version seen.
        patience : float
            Seconds that the caller waits.
        """
        handed = ForwardedRequest(
            self._reactor, self, encode, patience, on_answer, fallback
        )
        handed.start()
        return handed
