"""Hand-over to aggregators: which one, and what happens when it is lost."""

import random
import typing

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process.serving import aggregators, forwarding

PONG = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    b"jackdawpass-version: %d\r\njackdawpass-state: %s\r\n\r\n"
)
ANSWER = PONG.replace(b"Content-Length: 0", b"x-own: 1\r\nContent-Length: 2") + b"ok"


class Transport(StringTransport):
    """Memory transport whose abort is only noted."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.disconnecting = True


class World:
    """An instance with links to aggregators that the test plays."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, names: str) -> None:
        self.reactor = MemoryReactorClock()
        monkeypatch.setattr(clock, "monotonic", self.reactor.seconds)
        self.forwarder = forwarding.Forwarder(self.reactor, random.Random(1))
        self.answers: list[ingress.OutgoingAnswer] = []
        self.fallbacks = 0
        self.links: dict[int, list[tuple[typing.Any, Transport]]] = {}
        members = [
            aggregators.Member(name, "a", "127.0.0.1", port, 1.0)
            for port, name in enumerate(names)
        ]
        self.forwarder.apply(members)

    def connect(self) -> None:
        """Answer all connects."""
        while self.reactor.tcpClients:
            _, port, factory, _, _ = self.reactor.tcpClients.pop(0)
            connection: typing.Any = factory.buildProtocol(None)
            transport = Transport()
            connection.makeConnection(transport)
            self.links.setdefault(port, []).append((connection, transport))

    def refuse(self) -> None:
        """Refuse all connects."""
        while self.reactor.tcpClients:
            factory: typing.Any = self.reactor.tcpClients.pop(0)[2]
            factory.clientConnectionFailed(None, failure.Failure(error.ConnectError()))

    def reply(self, port: int, data: bytes) -> bytes:
        """Answer what was written to an aggregator; return it."""
        for connection, transport in self.links[port]:
            written = transport.value()
            if written:
                transport.clear()
                connection.dataReceived(data)
                return bytes(written)
        raise AssertionError("nothing was written")

    def make_ready(self, port: int, version: int = 1, state: bytes = b"ready") -> None:
        self.connect()
        self.reply(port, PONG % (version, state))

    def hand_over(self) -> forwarding.ForwardedRequest:
        return self.forwarder.forward_request(
            lambda patience, version: b"GET /x v%d\r\n\r\n" % version,
            1.0,
            self.answers.append,
            self.fall_back,
        )

    def fall_back(self) -> ingress.Exchange:
        self.fallbacks += 1
        return self

    def caller_gone(self) -> None:
        pass


@pytest.fixture
def one(monkeypatch: pytest.MonkeyPatch) -> World:
    """Give one aggregator that is ready."""
    world = World(monkeypatch, "x")
    world.make_ready(0)
    return world


def test_answer_is_relayed_without_what_instances_say(one: World) -> None:
    """Guards against headers of our own that reach callers."""
    one.hand_over()
    one.connect()
    assert one.reply(0, ANSWER % (3, b"ready")) == b"GET /x v0\r\n\r\n"
    (answer,) = one.answers
    assert (answer.status, answer.body) == (200, b"ok")
    assert answer.headers == ((b"x-own", b"1"),)
    assert one.forwarder.version == 3


def test_without_aggregators_the_instance_asks_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that nobody serves."""
    world = World(monkeypatch, "")
    world.hand_over()
    assert world.fallbacks == 1


def test_silent_aggregator_is_left_and_its_requests_answered(one: World) -> None:
    """Guards against requests that wait for a frozen instance."""
    one.hand_over()
    one.connect()
    one.reactor.advance(forwarding.PING_SECONDS)
    one.connect()
    one.reactor.advance(forwarding.PING_SECONDS)
    assert [answer.status for answer in one.answers] == [502]
    assert not one.forwarder.reachable


def test_stall_of_this_instance_is_not_taken_for_the_aggregator_s(
    one: World,
) -> None:
    """Guards against leaving all aggregators after a pause of this process."""
    one.reactor.advance(forwarding.PING_SECONDS)
    one.connect()
    one.reactor.advance(5.0)
    assert one.forwarder.ready


def test_request_that_was_not_sent_goes_on_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against failing what no aggregator has seen."""
    world = World(monkeypatch, "x")
    world.make_ready(0)
    for connection, _ in world.links.pop(0):
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
    world.refuse()
    world.hand_over()
    world.refuse()
    assert world.fallbacks == 1 and not world.answers


def test_request_that_was_refused_goes_on_elsewhere(one: World) -> None:
    """Guards against a 503 for callers where another instance can serve."""
    one.hand_over()
    one.connect()
    refused = (PONG % (1, b"ready")).replace(
        b"\r\n", b"\r\njackdawpass-not-taken: 1\r\n", 1
    )
    one.reply(0, refused)
    assert one.fallbacks == 1 and not one.answers


def test_aggregator_with_an_older_version_is_passed_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a version that goes back."""
    world = World(monkeypatch, "xy")
    world.make_ready(0, version=4)
    world.make_ready(1, version=5)
    world.forwarder.on_version(5)
    picked = {world.forwarder.pick(()) for _ in range(20)}
    assert {link.member.name for link in picked if link is not None} == {"y"}


def test_isolated_aggregator_is_the_last_choice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cut zone that serves nothing of what it could."""
    world = World(monkeypatch, "xy")
    world.make_ready(0, state=b"isolated")
    assert not world.forwarder.ready and world.forwarder.reachable
    world.make_ready(1)
    link = world.forwarder.pick(())
    assert link is not None and link.member.name == "y"


def test_caller_that_leaves_withdraws_its_request(one: World) -> None:
    """Guards against targets that work for nobody."""
    handed = one.hand_over()
    one.connect()
    handed.caller_gone()
    assert any(transport.disconnecting for _, transport in one.links[0])
    assert not one.answers


def substituted(monkeypatch: pytest.MonkeyPatch) -> World:
    """Give an own aggregator, at port 0, and one of another zone, at port 9."""
    world = World(monkeypatch, "x")
    away = aggregators.Member("far", "b", "127.0.0.1", 9, 1.0)
    own = aggregators.Member("x", "a", "127.0.0.1", 0, 1.0)
    world.forwarder.apply((own,), (away,))
    return world


def picked(world: World) -> str | None:
    link = world.forwarder.pick(())
    return None if link is None else link.member.name


def test_other_zones_are_not_asked_while_the_own_one_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against priced questions between zones on a calm day."""
    world = substituted(monkeypatch)
    world.make_ready(0)
    world.forwarder.tick(0.0)
    world.connect()
    assert list(world.links) == [0]


def test_stale_aggregator_is_passed_over_for_one_of_another_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an older version for callers of an instance in touch."""
    world = substituted(monkeypatch)
    world.make_ready(0, state=b"stale")
    assert picked(world) == "x" and world.forwarder.ready
    world.forwarder.tick(0.0)
    world.make_ready(9)
    assert picked(world) == "far"
    assert not world.forwarder.is_stale(forwarding.STALE_SECONDS + 1)


def test_lost_aggregators_are_replaced_by_those_of_another_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a zone of cold connections after its aggregators were killed."""
    world = substituted(monkeypatch)
    world.refuse()
    world.forwarder.tick(0.0)
    world.make_ready(9)
    assert picked(world) == "far"


def test_own_zone_is_returned_to(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against bytes between zones after the trouble has ended."""
    world = substituted(monkeypatch)
    world.make_ready(0, state=b"stale")
    world.forwarder.tick(0.0)
    world.make_ready(9)
    world.reactor.advance(forwarding.PING_SECONDS)
    world.connect()
    world.reply(0, PONG % (1, b"ready"))
    assert picked(world) == "x"
    world.forwarder.tick(forwarding.SUBSTITUTE_SECONDS + 1.0)
    assert world.forwarder.pick(("x",)) is None


def test_only_stale_aggregators_are_soon_not_trusted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against versions that nobody hears of while this instance could."""
    world = World(monkeypatch, "x")
    world.make_ready(0, state=b"stale")
    assert not world.forwarder.is_stale(forwarding.STALE_SECONDS - 0.1)
    assert world.forwarder.is_stale(forwarding.STALE_SECONDS + 0.1)
