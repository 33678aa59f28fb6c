"""Handling of requests from callers and from other instances."""

import typing

import pytest
from returns import result

from jackdawpass import clock
from jackdawpass.connection import dialect, ingress
from jackdawpass.process.serving import (
    caller_requests,
    forwarded_repeats,
    handlers,
    peer_handler,
    peer_wire,
    timing,
)
from jackdawpass.request import model
from jackdawpass.version import routes

FANOUT_DIGEST = "s7"


class FakeInstance:
    """State of an instance that the test can set."""

    asks_targets = True
    synced = True
    ready = True
    stopping = False
    isolated = False
    stale = False

    def __init__(self) -> None:
        self.follow_calls = 0
        self.stops_in: float | None = None

    def follow_targets(self) -> None:
        self.follow_calls += 1

    def seconds_left(self, now: float) -> float | None:
        return self.stops_in


class FakeDialect:
    """Dialect that encodes every outcome as an empty answer."""

    def decode_request(
        self, request: ingress.IncomingRequest
    ) -> result.Result[caller_requests.CallerRequest, int]:
        return result.Success(caller_requests.CallerRequest("r", "h", "/", 1.0, b""))

    def encode_outcome(self, outcome: object) -> ingress.OutgoingResponse:
        return ingress.OutgoingResponse(200, (), b"")

    def encode_forwarded(
        self, encoded: bytes, timeout: float, extra: ingress.Headers
    ) -> bytes:
        return b""


class FakeNotices:
    """Notice of one target, received at the time 1.0."""

    def heard_since(self, now: float, at: float) -> tuple[model.TargetNotice, ...]:
        return (model.TargetNotice("t", 3, leaving=True),) if at <= 1.0 else ()


class FakeGateway:
    """Gateway that serves every request at once."""

    def __init__(self) -> None:
        self.notices = FakeNotices()
        self.table: routes.RoutingTable | None = routes.RoutingTable(
            7, (), (), routes.CallerLimits()
        )
        self.served: list[caller_requests.CallerRequest] = []
        self.subqueries: list[peer_wire.Subquery] = []
        self.review = forwarded_repeats.Review(True)
        self.likely_seconds = 0.1

    def finishes_within(
        self, request: caller_requests.CallerRequest, seconds: float | None
    ) -> bool:
        return seconds is None or self.likely_seconds <= seconds

    def serve(
        self, request: caller_requests.CallerRequest, on_outcome: typing.Any
    ) -> ingress.Exchange:
        self.served.append(request)
        on_outcome(None)
        return self  # type: ignore[return-value]

    def review_repeat(
        self, request: caller_requests.CallerRequest
    ) -> forwarded_repeats.Review:
        return self.review

    def serve_subquery(
        self,
        request: caller_requests.CallerRequest,
        subquery: peer_wire.Subquery,
        on_outcome: object,
    ) -> ingress.Exchange | None:
        if subquery.fanout_digest != FANOUT_DIGEST:
            return None
        self.subqueries.append(subquery)
        return self  # type: ignore[return-value]


class PeerHarness:
    def __init__(self) -> None:
        self.instance = FakeInstance()
        self.gateway = FakeGateway()
        wire: typing.Any = FakeDialect()
        fake_gateway: typing.Any = self.gateway
        self.handler = peer_handler.PeerHandler(wire, fake_gateway, self.instance)

    def send_subquery(
        self, fanout_digest: str = FANOUT_DIGEST
    ) -> ingress.OutgoingResponse | None:
        subquery = peer_wire.Subquery(fanout_digest, frozenset((1, 4)), 0.05)
        headers = peer_wire.encode_subquery(subquery)
        answers: list[ingress.OutgoingResponse] = []
        request = ingress.IncomingRequest(b"GET", b"/x", headers, b"")
        self.handler.handle(request, answers.append)
        return answers[0] if answers else None

    def send(self, target: bytes = b"/x", **fields: str) -> ingress.OutgoingResponse:
        headers = tuple(
            (name.replace("_", "-").encode(), value.encode())
            for name, value in fields.items()
        )
        answers: list[ingress.OutgoingResponse] = []
        request = ingress.IncomingRequest(b"GET", target, headers, b"")
        self.handler.handle(request, answers.append)
        return answers[0]


@pytest.fixture
def peer() -> PeerHarness:
    return PeerHarness()


def is_accepted(answer: ingress.OutgoingResponse) -> bool:
    return peer_wire.NOT_TAKEN not in dict(answer.headers)


def test_request_is_served_with_its_age_and_version(peer: PeerHarness) -> None:
    """Guards against late partial answers because the hop's time is not counted."""
    answer = peer.send(jackdawpass_age_ms="12")
    assert is_accepted(answer)
    assert dict(answer.headers)[peer_wire.VERSION] == b"7"
    assert peer.gateway.served[0].age == 0.012


def test_sender_that_has_seen_a_newer_version_is_declined(peer: PeerHarness) -> None:
    """Guards against a version that reverts because two aggregators differ."""
    assert not is_accepted(peer.send(jackdawpass_version="8"))
    assert is_accepted(peer.send(jackdawpass_version="7"))


def test_repeat_is_served_or_declined_with_the_reason(peer: PeerHarness) -> None:
    """Guards against running a request again that must run at most once."""
    assert is_accepted(peer.send(jackdawpass_repeat="1"))
    assert peer.gateway.served.pop().is_repeat
    peer.gateway.review = forwarded_repeats.Review(False, 2.5)
    declined = dict(peer.send(jackdawpass_repeat="1").headers)
    assert declined[peer_wire.RUNS_ONCE_WITHIN_MS] == b"2500"
    peer.gateway.review = forwarded_repeats.DECLINED
    declined = dict(peer.send(jackdawpass_repeat="1").headers)
    assert declined[peer_wire.NOT_TAKEN] == peer_wire.NO_REPEAT
    assert peer_wire.RUNS_ONCE_WITHIN_MS not in declined
    assert not peer.gateway.served


def test_stopping_instance_declines_what_it_cannot_finish(peer: PeerHarness) -> None:
    """Guards against a forwarded request that the end of the aggregator cuts off."""
    peer.instance.stops_in = 1.0
    assert is_accepted(peer.send())
    peer.gateway.likely_seconds = 2.5
    assert not is_accepted(peer.send())


def test_stop_of_the_forwarding_instance_reaches_the_gateway(
    peer: PeerHarness,
) -> None:
    """Guards against a request that outlasts the instance that answers its caller."""
    headers = dict(peer_wire.encode_stops_in(1.25))
    assert headers == {peer_wire.STOPS_IN_MS: b"1250"}
    peer.send(jackdawpass_stops_in_ms="1250")
    peer.send(jackdawpass_stops_in_ms="soon")
    peer.send()
    assert [each.stops_in for each in peer.gateway.served] == [1.25, None, None]
    assert peer_wire.encode_stops_in(None) == ()


def test_unsynced_instance_declines_and_follows_targets(
    peer: PeerHarness,
) -> None:
    """Guards against an instance that declines forwarded requests forever.

    Only requests make an instance that is not an aggregator follow the targets.
    """
    peer.instance.synced = False
    assert not is_accepted(peer.send())
    assert peer.instance.follow_calls == 1


@pytest.mark.parametrize(
    ("change", "state"),
    [
        ({}, peer_wire.State.READY),
        ({"isolated": True}, peer_wire.State.ISOLATED),
        ({"stale": True}, peer_wire.State.STALE),
        ({"stale": True, "isolated": True}, peer_wire.State.ISOLATED),
        ({"stopping": True}, peer_wire.State.UNREADY),
        ({"synced": False}, peer_wire.State.UNREADY),
    ],
)
def test_ping_reports_the_state(
    peer: PeerHarness, change: dict[str, bool], state: peer_wire.State
) -> None:
    """Guards against requests forwarded to an instance that cannot serve them."""
    for name, value in change.items():
        setattr(peer.instance, name, value)
    answer = peer.send(peer_wire.PING_PATH)
    assert dict(answer.headers)[peer_wire.STATE] == state.value.encode()
    assert not peer.gateway.served


@pytest.mark.parametrize(("arrived", "is_named"), [(0.5, True), (1.5, False)])
def test_reply_names_targets_that_announced_since_the_request(
    peer: PeerHarness, monkeypatch: pytest.MonkeyPatch, arrived: float, is_named: bool
) -> None:
    """Guards against an answer of a leaving target that is passed on as any other."""
    monkeypatch.setattr(clock, "monotonic", lambda: arrived)
    headers = peer.send().headers
    reply = dialect.HttpReply(200, b"", headers)
    assert bool(peer_wire.decode_notices(reply)) == is_named
    assert peer_wire.LEAVING not in dict(peer_wire.caller_headers(headers))


def test_subquery_of_the_same_fanout_digest_is_served(peer: PeerHarness) -> None:
    """Guards against a subquery that is served as a complete request."""
    assert peer.send_subquery() is None
    assert [each.shards for each in peer.gateway.subqueries] == [{1, 4}]
    assert not peer.gateway.served


def test_subquery_of_another_fanout_digest_is_declined(peer: PeerHarness) -> None:
    """Guards against an answer that mixes two configuration versions."""
    answer = peer.send_subquery("other")
    assert answer is not None and not is_accepted(answer)


def test_stopping_instance_declines_subqueries(peer: PeerHarness) -> None:
    """Guards against a graceful shutdown that aborts other instances' subqueries."""
    peer.instance.stopping = True
    answer = peer.send_subquery()
    assert answer is not None and not is_accepted(answer)


class FakeForwarder:
    """Forwarder that accepts every request and has seen version 7."""

    reported_limits: tuple[int, routes.CallerLimits] | None = None

    def __init__(self, fresh: bool, version: int = 7) -> None:
        self.fresh = fresh
        self.version = version
        self.forwarded = 0

    def on_version(self, version: int) -> None:
        self.version = max(self.version, version)

    def forward_request(self, *_: object) -> ingress.Exchange:
        self.forwarded += 1
        return ingress.FinishedExchange()


def send_as_caller(
    fake_gateway: FakeGateway, fake_forwarder: FakeForwarder, instance: FakeInstance
) -> None:
    arguments: typing.Any = (
        None,
        FakeDialect(),
        fake_gateway,
        fake_forwarder,
        instance,
    )
    callers = handlers.CallerHandler(*arguments)
    request = ingress.IncomingRequest(b"GET", b"/x", (), b"")
    callers.handle(request, lambda answer: None)


@pytest.mark.parametrize("asks_targets", [True, False])
def test_version_that_this_instance_has_served_is_remembered(
    asks_targets: bool,
) -> None:
    """Guards against forwarding to an aggregator that still has an older version."""
    instance = FakeInstance()
    instance.asks_targets = asks_targets
    fake_gateway, fake_forwarder = FakeGateway(), FakeForwarder(False, version=6)
    send_as_caller(fake_gateway, fake_forwarder, instance)
    assert len(fake_gateway.served) == 1 and fake_forwarder.version == 7


def test_new_aggregator_serves_no_older_version() -> None:
    """Guards against an instance whose own table is older than what it forwarded."""
    fake_gateway, fake_forwarder = FakeGateway(), FakeForwarder(True, version=8)
    send_as_caller(fake_gateway, fake_forwarder, FakeInstance())
    assert not fake_gateway.served and not fake_forwarder.forwarded


@pytest.mark.parametrize(
    ("fresh", "changes", "forwarded"),
    [
        (True, {}, 1),
        (False, {}, 0),
        (False, {"stale": True}, 1),
        (False, {"synced": False}, 1),
    ],
)
def test_instance_ahead_of_its_aggregators_serves_requests(
    fresh: bool, changes: dict[str, bool], forwarded: int
) -> None:
    """Guards against an outdated version while only this instance reaches the store."""
    instance = FakeInstance()
    instance.asks_targets = False
    for name, value in changes.items():
        setattr(instance, name, value)
    fake_gateway, fake_forwarder = FakeGateway(), FakeForwarder(fresh)
    send_as_caller(fake_gateway, fake_forwarder, instance)
    assert (fake_forwarder.forwarded, len(fake_gateway.served)) == (
        forwarded,
        1 - forwarded,
    )


# Median time that callers wait beyond the aggregator's own time, with 144 instances and
# no faults; 6 ms of it are the transit to and from the caller.
FORWARDING_SECONDS = 0.0113


def test_partial_answer_through_an_aggregator_arrives_within_the_objective() -> None:
    """Guards against answers that miss a short objective by a millisecond."""
    route = routes.Route("r", "h", "/", True, ("g",), (), 1.0, 0.046)
    answered_at = timing.answer_by(0.0, handlers.HOP_SECONDS, route)
    # One iteration of the event loop and the end of 90 attempts add up to 2 ms.
    assert answered_at + FORWARDING_SECONDS + 0.002 <= route.latency_objective


@pytest.mark.parametrize(("seen", "is_told"), [(b"6", True), (b"7", False)])
def test_sender_is_told_of_a_newer_version_at_once(
    peer: PeerHarness, seen: bytes, is_told: bool
) -> None:
    """Guards against a sender that uses an older version while the request runs."""
    request = ingress.IncomingRequest(b"GET", b"/x", ((peer_wire.VERSION, seen),), b"")
    headers = peer.handler.interim_headers(request)
    assert (headers is not None) == is_told
    if headers is not None:
        interim = dialect.HttpReply(102, b"", headers)
        report = peer_wire.decode_report(interim)
        assert report is not None and report.version == 7


REPORTED = routes.CallerLimits(1000, 2000, 0.5, 4.25)


@pytest.mark.parametrize(
    ("own_version", "reported_version", "expected"),
    [
        (None, None, handlers.UNKNOWN_LIMITS),
        (None, 3, REPORTED),
        (7, None, routes.CallerLimits()),
        (7, 6, routes.CallerLimits()),
        (7, 8, REPORTED),
    ],
)
def test_limits_of_the_newest_known_version_are_in_force(
    own_version: int | None,
    reported_version: int | None,
    expected: routes.CallerLimits,
) -> None:
    """Guards against default or old limits at an instance that forwards requests."""
    fake_gateway, fake_forwarder = FakeGateway(), FakeForwarder(True)
    if own_version is None:
        fake_gateway.table = None
    if reported_version is not None:
        fake_forwarder.reported_limits = (reported_version, REPORTED)
    parts: typing.Any = (FakeDialect(), fake_gateway, fake_forwarder, FakeInstance())
    handler = handlers.CallerHandler(None, *parts)
    assert handler.caller_limits == expected
