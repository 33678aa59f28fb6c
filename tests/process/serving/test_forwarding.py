"""Forwarding to aggregators: their choice, and the effects of their loss."""

import pytest
from twisted.internet import error
from twisted.python import failure

from jackdawpass.process.serving import (
    aggregator_link,
    aggregators,
    forwarding,
)
from tests.process.serving import forwarding_harness


@pytest.fixture
def ready_harness(monkeypatch: pytest.MonkeyPatch) -> forwarding_harness.Harness:
    """Return a harness with one ready aggregator."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    harness.make_ready(0)
    return harness


def test_answer_is_relayed_without_internal_headers(
    ready_harness: forwarding_harness.Harness,
) -> None:
    """Guards against internal headers that reach callers."""
    ready_harness.forward()
    ready_harness.connect()
    assert (
        ready_harness.reply(0, forwarding_harness.ANSWER % (3, b"ready"))
        == b"GET /x v0\r\n\r\n"
    )
    (answer,) = ready_harness.answers
    assert (answer.status, answer.body) == (200, b"ok")
    assert answer.headers == ((b"x-own", b"1"),)
    assert ready_harness.forwarder.version == 3


def test_version_of_a_running_request_excludes_older_aggregators(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an older version after a target saw the effect of a newer one."""
    harness = forwarding_harness.Harness(monkeypatch, "xy")
    for port in (0, 1):
        harness.make_ready(port)
    harness.forward()
    harness.connect()
    (newer,) = [
        p for p in (0, 1) if any(b"/x" in t.value() for _, t in harness.links[p])
    ]
    interim = forwarding_harness.PONG.replace(
        b"200 OK\r\nContent-Length: 0", b"102 Processing"
    )
    harness.reply(newer, interim % (2, b"ready"))
    assert not harness.answers
    for _ in range(5):
        chosen = harness.forwarder.choose(())
        assert chosen is not None and chosen.member.port == newer


def test_without_aggregators_the_fallback_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that are never served."""
    harness = forwarding_harness.Harness(monkeypatch, "")
    harness.forward()
    assert harness.fallbacks == 1


def fall_silent(harness: forwarding_harness.Harness, *others: int) -> None:
    """Let a ping time out at the aggregator of port 0; the others answer theirs."""
    for _ in range(2):
        harness.reactor.advance(aggregator_link.PING_SECONDS)
        harness.connect()
        for port in others:
            harness.make_ready(port)


def forward_to_silent_aggregator(
    harness: forwarding_harness.Harness,
) -> forwarding_harness.Transport:
    """Forward a request to port 0, which falls silent; return its connection."""
    harness.make_ready(0)
    harness.forward()
    harness.connect()
    transports = [transport for _, transport in harness.links[0]]
    (asked,) = [each for each in transports if b"/x" in each.value()]
    return asked


def test_silent_aggregator_is_dropped_and_may_still_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against giving up a request that a paused aggregator is serving."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    asked = forward_to_silent_aggregator(harness)
    asked.clear()
    fall_silent(harness)
    assert not harness.forwarder.reachable
    assert harness.answers == [] and not asked.disconnecting
    (connection,) = [c for c, transport in harness.links[0] if transport is asked]
    connection.dataReceived(forwarding_harness.ANSWER % (1, b"ready"))
    assert [answer.status for answer in harness.answers] == [200]
    assert harness.forwarder.reachable


def test_request_without_an_answer_ends_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for a frozen aggregator without end."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    forward_to_silent_aggregator(harness)
    fall_silent(harness)
    harness.reactor.advance(1.0)
    assert [answer.status for answer in harness.answers] == [504]


def make_repeat(monkeypatch: pytest.MonkeyPatch) -> forwarding_harness.Harness:
    """Return a harness whose request went to port 0, which is silent, and to 1."""
    harness = forwarding_harness.Harness(monkeypatch, "xy")
    forward_to_silent_aggregator(harness)
    harness.make_ready(1)
    fall_silent(harness, 1)
    harness.connect()
    return harness


def test_silent_aggregators_request_goes_to_another_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for a frozen aggregator."""
    harness = make_repeat(monkeypatch)
    assert b"repeat" in harness.reply(1, forwarding_harness.ANSWER % (1, b"ready"))
    assert [answer.status for answer in harness.answers] == [200]
    assert any(transport.disconnecting for _, transport in harness.links[0])


def decline(harness: forwarding_harness.Harness, port: int, headers: bytes) -> None:
    """Decline the request written to an aggregator."""
    harness.reply(
        port, (forwarding_harness.PONG % (1, b"ready")).replace(b"\r\n", headers, 1)
    )


def test_request_that_must_run_once_waits_for_its_route_s_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against running a request twice, and against waiting beyond its route."""
    harness = make_repeat(monkeypatch)
    decline(
        harness,
        1,
        b"\r\njackdawpass-not-taken: no-repeat\r\n"
        b"jackdawpass-runs-once-within-ms: 900\r\n",
    )
    assert harness.answers == []
    harness.reactor.advance(0.1)
    assert [answer.status for answer in harness.answers] == [504]


def test_request_that_may_not_be_repeated_here_ends_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against holding a caller that may repeat its request."""
    harness = make_repeat(monkeypatch)
    decline(harness, 1, b"\r\njackdawpass-not-taken: no-repeat\r\n")
    assert [answer.status for answer in harness.answers] == [502]


def test_refused_repeat_is_not_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 503 for a request that the first aggregator may have run."""
    harness = make_repeat(monkeypatch)
    harness.reply(
        1, (forwarding_harness.ANSWER % (1, b"ready")).replace(b"200 OK", b"503 Full")
    )
    assert [answer.status for answer in harness.answers] == [502]


def test_request_of_a_lost_aggregator_is_sent_as_a_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 502 for a request that another aggregator can answer."""
    harness = forwarding_harness.Harness(monkeypatch, "xy")
    asked = forward_to_silent_aggregator(harness)
    harness.make_ready(1)
    (connection,) = [c for c, transport in harness.links[0] if transport is asked]
    connection.connectionLost(failure.Failure(error.ConnectionLost()))
    harness.connect()
    assert b"repeat" in harness.reply(1, forwarding_harness.ANSWER % (1, b"ready"))
    assert [answer.status for answer in harness.answers] == [200]


def test_request_of_the_only_aggregator_lost_is_uncertain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against serving a request again that must perhaps run once."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    asked = forward_to_silent_aggregator(harness)
    (connection,) = [c for c, transport in harness.links[0] if transport is asked]
    connection.connectionLost(failure.Failure(error.ConnectionLost()))
    assert [answer.status for answer in harness.answers] == [502]
    assert harness.fallbacks == 0


def test_own_stall_is_not_attributed_to_the_aggregator(
    ready_harness: forwarding_harness.Harness,
) -> None:
    """Guards against dropping all aggregators after a pause of this process."""
    ready_harness.reactor.advance(aggregator_link.PING_SECONDS)
    ready_harness.connect()
    ready_harness.reactor.advance(5.0)
    assert ready_harness.forwarder.ready


def test_unsent_request_falls_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 502 for a request that reached no aggregator."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    harness.make_ready(0)
    for connection, _ in harness.links.pop(0):
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
    harness.refuse()
    harness.forward()
    harness.refuse()
    assert harness.fallbacks == 1 and not harness.answers


def test_declined_request_falls_back(ready_harness: forwarding_harness.Harness) -> None:
    """Guards against a 503 to a caller that another instance can serve."""
    ready_harness.forward()
    ready_harness.connect()
    refused = (forwarding_harness.PONG % (1, b"ready")).replace(
        b"\r\n", b"\r\njackdawpass-not-taken: 1\r\n", 1
    )
    ready_harness.reply(0, refused)
    assert ready_harness.fallbacks == 1 and not ready_harness.answers


def test_aggregator_with_an_older_version_is_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers from an older version after a newer one."""
    harness = forwarding_harness.Harness(monkeypatch, "xy")
    harness.make_ready(0, version=4)
    harness.make_ready(1, version=5)
    harness.forwarder.on_version(5)
    chosen = {harness.forwarder.choose(()) for _ in range(20)}
    assert {link.member.name for link in chosen if link is not None} == {"y"}


def test_isolated_aggregator_is_the_last_choice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an isolated zone that serves none of the requests it could."""
    harness = forwarding_harness.Harness(monkeypatch, "xy")
    harness.make_ready(0, state=b"isolated")
    assert not harness.forwarder.ready and harness.forwarder.reachable
    harness.make_ready(1)
    link = harness.forwarder.choose(())
    assert link is not None and link.member.name == "y"


def test_disconnected_caller_cancels_its_request(
    ready_harness: forwarding_harness.Harness,
) -> None:
    """Guards against targets that work on requests without a caller."""
    request = ready_harness.forward()
    ready_harness.connect()
    request.caller_gone()
    assert any(transport.disconnecting for _, transport in ready_harness.links[0])
    assert not ready_harness.answers


def make_two_zones(monkeypatch: pytest.MonkeyPatch) -> forwarding_harness.Harness:
    """Return a local aggregator at port 0 and a remote one at port 9."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    remote = aggregators.Member("far", "b", "127.0.0.1", 9, 1.0)
    local = aggregators.Member("x", "a", "127.0.0.1", 0, 1.0)
    harness.forwarder.apply((local,), (remote,))
    return harness


def chosen_name(harness: forwarding_harness.Harness) -> str | None:
    link = harness.forwarder.choose(())
    return None if link is None else link.member.name


def test_remote_aggregators_are_not_pinged_while_a_local_one_is_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against charged cross-zone pings without a failure."""
    harness = make_two_zones(monkeypatch)
    harness.make_ready(0)
    harness.forwarder.tick(0.0)
    harness.connect()
    assert list(harness.links) == [0]


def test_ready_remote_aggregator_is_preferred_to_a_stale_local_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against old answers while another zone has the current version."""
    harness = make_two_zones(monkeypatch)
    harness.make_ready(0, state=b"stale")
    assert chosen_name(harness) == "x" and harness.forwarder.ready
    harness.forwarder.tick(0.0)
    harness.make_ready(9)
    assert chosen_name(harness) == "far"
    assert not harness.forwarder.is_stale(forwarding.STALE_SECONDS + 1)


def test_lost_local_aggregators_are_replaced_by_remote_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cold connections to all targets after a loss of aggregators."""
    harness = make_two_zones(monkeypatch)
    harness.refuse()
    harness.forwarder.tick(0.0)
    harness.make_ready(9)
    assert chosen_name(harness) == "far"


def test_recovered_local_aggregator_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cross-zone traffic after the local aggregator has recovered."""
    harness = make_two_zones(monkeypatch)
    harness.make_ready(0, state=b"stale")
    harness.forwarder.tick(0.0)
    harness.make_ready(9)
    harness.reactor.advance(aggregator_link.PING_SECONDS)
    harness.connect()
    harness.make_ready(0)
    assert chosen_name(harness) == "x"
    harness.forwarder.tick(forwarding.REMOTE_LINK_SECONDS + 1.0)
    assert harness.forwarder.choose(("x",)) is None


def test_forwarder_becomes_stale_with_only_stale_aggregators(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against missed versions that this instance could read from the store."""
    harness = forwarding_harness.Harness(monkeypatch, "x")
    harness.make_ready(0, state=b"stale")
    assert not harness.forwarder.is_stale(forwarding.STALE_SECONDS - 0.1)
    assert harness.forwarder.is_stale(forwarding.STALE_SECONDS + 0.1)
