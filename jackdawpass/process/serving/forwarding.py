"""Forwarding of callers' whole requests to aggregators, first to those of the zone."""

import collections.abc
import math
import random
import typing

from jackdawpass import clock
from jackdawpass.connection import ingress, reply_limits
from jackdawpass.process.serving import (
    aggregator_link,
    aggregators,
    forwarded_request,
    notices,
    peer_wire,
)
from jackdawpass.request import model
from jackdawpass.version import routes

# How long stale aggregators are trusted before this instance checks the store itself: a
# change has at least three seconds to come into force.
STALE_SECONDS = 0.4
# How long aggregators of other zones are pinged after the last time that no local one
# was ready. The pings cross zones, where traffic is charged.
REMOTE_LINK_SECONDS = 5.0

_STATE_ORDER = tuple(peer_wire.State)


class Forwarder:
    """Links to the aggregators, and the choice of one for each request.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    generator : random.Random
        Breaks ties between equally good aggregators.
    on_notices : callable
        Receives what aggregators have learned about targets.
    memory : ReplyMemory or None
        Memory for unfinished replies.
    """

    def __init__(
        self,
        reactor: typing.Any,
        generator: random.Random,
        on_notices: notices.OnNotices,
        memory: reply_limits.ReplyMemory | None = None,
    ) -> None:
        self._reactor = reactor
        self._random = generator
        self._on_notices = on_notices
        self._memory = memory
        self._links: dict[str, aggregator_link.AggregatorLink] = {}
        self._local: dict[str, aggregators.Member] = {}
        # Aggregators of other zones; linked only while no local one is ready.
        self._remote: dict[str, aggregators.Member] = {}
        self._remote_needed_until = -math.inf
        self._last_fresh_at = clock.monotonic()
        self._version = 0
        self._reported_limits: tuple[int, routes.CallerLimits] | None = None

    @property
    def reported_limits(self) -> tuple[int, routes.CallerLimits] | None:
        """Newest version with the limits for callers that an aggregator reported."""
        for link in self._links.values():
            known = self._reported_limits
            if link.limits is not None and (
                known is None or link.report.version > known[0]
            ):
                self._reported_limits = (link.report.version, link.limits)
        return self._reported_limits

    @property
    def version(self) -> int:
        """Highest configuration version by which a request was served."""
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
        """Record the configuration version by which a request is served."""
        self._version = max(self._version, version)

    def on_notices(
        self, now: float, found: collections.abc.Iterable[model.TargetNotice]
    ) -> None:
        """Record what an aggregator has learned about targets."""
        self._on_notices(now, found)

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
        request_id: str,
        encode: forwarded_request.Encode,
        timeout: float,
        on_response: ingress.OnResponse,
        fallback: forwarded_request.Fallback,
    ) -> ingress.Exchange:
        """Forward a request to an aggregator, or to `fallback` if there is none.

        The parameters are those of `ForwardedRequest`.
        """
        request = forwarded_request.ForwardedRequest(
            self._reactor, self, request_id, encode, timeout, on_response, fallback
        )
        request.start()
        return request
