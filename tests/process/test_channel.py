"""Tests of the channel that queues and sends attempts to one target."""

import pytest

from jackdawpass import clock
from jackdawpass.bench import naive
from jackdawpass.connection import dialect
from jackdawpass.process import channel, limiter, policy, submission
from jackdawpass.request import model
from tests.connection import test_pool
from tests.process import samples

OK = b'{"request_id": "r", "attempt_id": %d, "snapshot": "s1", "shards": {"0": []}}'


class _EntryPolicy(naive.NaivePolicy):
    latency = 0.0

    def queue_settings(self, service: str) -> policy.QueueSettings:
        return policy.QueueSettings(priority=len(service), max_queue=2)

    def expected_latency(self, target: str) -> float:
        return self.latency


class _Setup:
    """A channel whose limiter permits one attempt at a time."""

    def __init__(self) -> None:
        self.network = test_pool.Network(limit=4)
        self.reactor = self.network.reactor
        self.limiter = limiter.Limiter(1.0, 1.0)
        self.entry_policy = _EntryPolicy()
        wire, connections = dialect.JsonDialect(), self.network.pool
        self.channel = channel.Channel(
            self.reactor, "t", wire, connections, self.limiter, self.entry_policy
        )
        self.events: list[tuple[str, int]] = []

    def submit(
        self, attempt_id: int, deadline: float = 50.0, service: str = "s"
    ) -> submission.Submission:
        attempt = samples.make_attempt(attempt_id, "t", service, deadline)
        return self.channel.submit(attempt, b"1", self)

    def reply(self, position: int, attempt_id: int) -> None:
        body = OK % attempt_id
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.network.links[position][0].dataReceived(head + body)

    def on_sent(self, attempt_id: int) -> None:
        self.events.append(("sent", attempt_id))

    def on_accepted(self, attempt_id: int) -> None:
        self.events.append(("accepted", attempt_id))

    def on_reply(self, attempt_id: int, reply: model.SubReply) -> None:
        self.events.append(("reply", attempt_id))

    def on_failure(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        assert failure.execution is not model.Execution.REFUSED_NOT_RUN
        self.events.append((failure.kind.value, attempt_id))


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> _Setup:
    """Return a channel that uses the clock of an in-memory reactor."""
    created = _Setup()
    monkeypatch.setattr(clock, "monotonic", created.reactor.seconds)
    return created


def test_queued_attempts_start_by_priority_when_another_ends(
    setup: _Setup,
) -> None:
    """Guards against queued attempts that never start after another one has ended."""
    setup.submit(1)
    setup.network.connect()
    setup.submit(2, service="s")
    setup.submit(3, service="long")
    for attempt_id in (1, 3, 2):
        setup.reply(0, attempt_id)
    order = [number for event, number in setup.events if event == "sent"]
    assert order == [1, 3, 2]
    assert setup.limiter.in_flight == 0


def test_full_queue_refuses_attempts_and_expired_ones_are_removed(
    setup: _Setup,
) -> None:
    """Guards against sending work that cannot finish before its deadline."""
    setup.entry_policy.latency = 1.0
    setup.submit(1)
    setup.submit(2, deadline=3.0)
    setup.submit(3, deadline=4.0)
    setup.submit(4, deadline=9.0)
    assert setup.events == [("queue_full", 4)]
    setup.reactor.advance(2.01)
    assert setup.events[1:] == [("queue_expired", 2)]
    setup.reactor.advance(1.0)
    assert setup.events[2:] == [("queue_expired", 3)]
    assert setup.channel.waiting == 0
    assert setup.limiter.in_flight == 1
    assert not setup.reactor.getDelayedCalls()


def test_delayed_start_needs_no_other_event(setup: _Setup) -> None:
    """Guards against a delayed start that waits for the reply to another attempt."""
    setup.limiter.set_bounds(0.1, 0.1)
    setup.submit(1)
    setup.network.connect()
    setup.reactor.advance(0.05)
    setup.reply(0, 1)
    setup.submit(2)
    assert ("sent", 2) not in setup.events
    setup.reactor.advance(0.5)
    assert setup.events[-1] == ("sent", 2)


def test_cancel_decrements_the_in_flight_count_in_each_state(setup: _Setup) -> None:
    """Guards against leaking in-flight counts until the target gets no more work."""
    connecting, queued = setup.submit(1), setup.submit(2)
    queued.cancel()
    assert setup.channel.waiting == 0
    connecting.cancel()
    connecting.cancel()
    assert setup.limiter.in_flight == 0
    setup.network.connect()
    assert setup.network.pool.idle == 1
    setup.submit(3).cancel()
    assert setup.limiter.in_flight == 0
    assert setup.network.links[0][1].closed
    assert setup.network.pool.idle == 0
    assert setup.events == [("sent", 3)]


def test_mismatched_reply_does_not_drop_the_next_attempt(setup: _Setup) -> None:
    """Guards against reusing a connection whose replies are out of order."""
    setup.submit(1)
    setup.network.connect()
    setup.submit(2)
    setup.reply(0, 77)
    assert ("mismatched_reply", 1) in setup.events
    assert setup.network.links[0][1].closed
    setup.network.reap()
    setup.reactor.advance(1.0)
    setup.network.connect()
    setup.reply(0, 2)
    assert setup.events[-1] == ("reply", 2)
    assert setup.limiter.in_flight == 0
