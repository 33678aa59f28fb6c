"""Tests of the statistics of targets."""

import pytest

from jackdawpass.process import replicas
from jackdawpass.request import model
from tests.process import samples


class _Service(replicas.ServiceReplicas):
    def __init__(self, *names: str) -> None:
        super().__init__()
        self.retain(names)

    def __getitem__(self, name: str) -> replicas.Replica:
        replica = self.get(name)
        assert replica is not None
        return replica

    def fail(
        self, now: float, name: str, failure: model.AttemptFailure, times: int = 1
    ) -> None:
        for _ in range(times):
            self[name].on_submitted(now)
            self.on_failure(now, name, failure)

    def fail_until_ejected(self, now: float, name: str) -> None:
        self.fail(now, name, samples.CONNECT_FAILED, replicas.FAILURES_TO_EJECT)

    def reply(self, now: float, name: str, latency: float) -> None:
        self[name].on_submitted(now)
        self[name].on_reply(now, latency)


def test_ejected_target_is_readmitted_by_one_probe() -> None:
    """Guards against a readmitted target that gets its full traffic at once."""
    service = _Service("a", "b")
    service.fail_until_ejected(10.0, "a")
    assert [service["a"].usable(now) for now in (10.5, 11.5)] == [False, True]
    service.fail(11.5, "a", samples.CONNECT_FAILED)
    assert [service["a"].usable(now) for now in (13.4, 13.6)] == [False, True]
    service["a"].on_submitted(13.6)
    assert not service["a"].usable(13.6)
    service["a"].on_reply(14.0, 0.005)
    weights = [service["a"].weight(now) for now in (14.0, 16.5, 19.5)]
    assert weights == pytest.approx([replicas.SLOW_START_MIN_WEIGHT, 0.5, 1.0])


@pytest.mark.parametrize(("count", "ejected"), [(0, 0), (1, 0), (2, 1), (3, 1), (6, 3)])
def test_ejected_share_is_capped(count: int, ejected: int) -> None:
    """Guards against an outage of all targets that ejects every one of them."""
    names = [f"t{number}" for number in range(count)]
    service = _Service(*names)
    for name in names:
        service.fail_until_ejected(1.0, name)
    service.review(1.0)
    assert sum(service[name].ejected for name in names) == ejected


def test_draining_target_is_excluded_until_listed_live_again() -> None:
    """Guards against new work for a leaving target while the list lags."""
    service = _Service("a", "b")
    service.fail(5.0, "a", samples.DRAINING)
    for now, leaving, usable in ((5.5, False, False), (7, True, False), (9, False, 1)):
        service["a"].on_listed(now, leaving)
        assert service["a"].usable(now) == usable


def test_draining_target_gets_no_work_while_it_drains() -> None:
    """Guards against new work for a target whose drain takes long."""
    replica = _Service("a")["a"]
    for step in range(1000):
        replica.on_listed(float(step), leaving=True)
        assert not replica.usable(float(step))


def test_probe_delay_of_a_draining_target_doubles() -> None:
    """Guards against a constant probe rate, which is costly in long drains."""
    service = _Service("a")
    service.fail(0.0, "a", samples.DRAINING)
    probed = [step for step in range(200) if service["a"].take_due_probe(float(step))]
    assert probed == [5, 15, 35, 75, 135, 195]


def test_readmission_starts_slowly_and_a_wrong_health_reply_delays_the_next() -> None:
    """Guards against a target that alternates between draining and readmitted."""
    service = _Service("a")
    service.fail(0.0, "a", samples.DRAINING)
    assert service["a"].take_due_probe(5.0)
    service["a"].readmit(5.0)
    assert service["a"].usable(5.0)
    assert service["a"].weight(5.0) < 1
    service.fail(5.1, "a", samples.DRAINING)
    assert not service["a"].take_due_probe(25.0)
    assert service["a"].take_due_probe(25.1)


def test_probe_survives_a_clock_that_steps_back() -> None:
    """Guards against a target that stays excluded after the clock stepped back."""
    service = _Service("a")
    service.fail(1000.0, "a", samples.DRAINING)
    assert service["a"].take_due_probe(10.0)


def test_cold_target_pauses_and_then_starts_slowly() -> None:
    """Guards against a cold target that gets full traffic or is never tried again."""
    service = _Service("a", "b")
    service.fail(1.0, "a", samples.COLD)
    assert [service["a"].usable(now) for now in (1.4, 1.6)] == [False, True]
    assert service["a"].weight(1.6) < 0.1


@pytest.mark.parametrize(("others", "ejected"), [(0.004, True), (0.4, False)])
def test_outlier_is_ejected_unless_all_are_slow(others: float, ejected: bool) -> None:
    """Guards against ejecting targets because the whole service is slow."""
    service = _Service("a", "b", "c")
    for step in range(40):
        for name, latency in (("a", 0.4), ("b", others), ("c", others)):
            service.reply(step * 0.01, name, latency)
    service.review(1.0)
    assert [service[name].ejected for name in "abc"] == [ejected, False, False]


def test_stalled_target_is_ejected_without_a_single_reply() -> None:
    """Guards against statistics that only count replies.

    A stalled target sends none; its attempts are cancelled when a hedge wins.
    """
    service = _Service("a", "b")
    for step in range(replicas.UNANSWERED_TO_EJECT):
        service["a"].on_submitted(float(step))
        service.on_cancelled(float(step), "a", 0.1)
    assert service["a"].ejected


def test_load_report_is_bounded_and_expires() -> None:
    """Guards against a stale or wrong load report that diverts all traffic."""
    replica = _Service("a")["a"]
    plain = replica.expected_wait(1.0, 0.01)
    replica.on_load(1.0, in_flight=1_000_000, slots=0)
    waits = [replica.expected_wait(now, 0.01) / plain for now in (1.5, 2.5, 0.5)]
    assert waits == [replicas.MAX_LOAD_FACTOR, 1.0, 1.0]


def test_exclusions_end_after_the_clock_stepped_back() -> None:
    """Guards against an exclusion that lasts until the clock has caught up."""
    service = _Service("a", "b")
    service.fail_until_ejected(10_000.0, "a")
    service.fail(10_000.0, "b", samples.DRAINING)
    assert not service["a"].usable(5.0)
    assert not service["b"].usable(5.0)
    assert service["a"].usable(5.0 + replicas.MAX_EJECTION_SECONDS)
    assert service["b"].take_due_probe(5.0)
