"""Tests of the live statistics of targets."""

import pytest

from jackdawpass.process import replicas
from jackdawpass.request import model

LOST = model.AttemptFailure(model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT)
DRAINING = model.AttemptFailure(
    model.FailureKind.DRAINING, model.Execution.REFUSED_NOT_RUN
)
COLD = model.AttemptFailure(
    model.FailureKind.COLD, model.Execution.REFUSED_NOT_RUN, retry_after=0.5
)


def _service(*names: str) -> replicas.ServiceReplicas:
    service = replicas.ServiceReplicas()
    service.keep(names)
    return service


def _get(service: replicas.ServiceReplicas, name: str) -> replicas.Replica:
    replica = service.get(name)
    assert replica is not None
    return replica


def _lose(service: replicas.ServiceReplicas, now: float, name: str) -> None:
    for _ in range(replicas.FAILURES_TO_EJECT):
        _get(service, name).on_submitted(now)
        service.on_failure(now, name, LOST)


def test_ejected_target_is_readmitted_by_one_probe() -> None:
    """Guards against a returning target that gets all its traffic at once."""
    service = _service("a", "b")
    _lose(service, 10.0, "a")
    lost = _get(service, "a")
    assert not lost.usable(10.5)
    assert lost.usable(11.5)
    lost.on_submitted(11.5)
    assert not lost.usable(11.5)
    lost.on_reply(11.6, 0.005)
    assert not lost.ejected
    assert lost.weight(11.6) == replicas.SLOW_START_MIN_WEIGHT
    assert lost.weight(14.1) == pytest.approx(0.5)
    assert lost.weight(17.0) == 1.0


def test_failed_probe_ejects_for_twice_as_long() -> None:
    """Guards against a dead target that is probed ever so often."""
    service = _service("a", "b")
    _lose(service, 10.0, "a")
    _get(service, "a").on_submitted(11.5)
    service.on_failure(11.5, "a", LOST)
    assert not _get(service, "a").usable(13.4)
    assert _get(service, "a").usable(13.6)


@pytest.mark.parametrize(("count", "ejected"), [(0, 0), (1, 0), (2, 1), (3, 1), (6, 3)])
def test_ejected_share_is_capped(count: int, ejected: int) -> None:
    """Guards against an outage of all targets that ejects every one of them."""
    names = [f"t{number}" for number in range(count)]
    service = _service(*names)
    for name in names:
        _lose(service, 1.0, name)
    service.review(1.0)
    assert sum(_get(service, name).ejected for name in names) == ejected


def test_draining_target_is_excluded_until_listed_live_again() -> None:
    """Guards against new work for a leaving target while the list lags."""
    service = _service("a", "b")
    replica = _get(service, "a")
    replica.on_submitted(5.0)
    service.on_failure(5.0, "a", DRAINING)
    replica.on_listed(5.5, leaving=False)
    assert not replica.usable(6.0)
    replica.on_listed(7.0, leaving=True)
    assert not replica.usable(7.0)
    replica.on_listed(9.0, leaving=False)
    assert replica.usable(9.0)
    assert replica.weight(9.0) < 0.1


def test_frozen_list_does_not_exclude_a_target_for_ever() -> None:
    """Guards against a stale list that says leaving although the target is back."""
    replica = _get(_service("a"), "a")
    for step in range(100):
        replica.on_listed(float(step), leaving=True)
    assert not replica.usable(1.0)
    assert replica.usable(1.0 + replicas.DRAINING_SECONDS)


def test_cold_target_pauses_and_then_starts_slowly() -> None:
    """Guards against a cold target that is flooded or never tried again."""
    service = _service("a", "b")
    replica = _get(service, "a")
    replica.on_submitted(1.0)
    service.on_failure(1.0, "a", COLD)
    assert not replica.usable(1.4)
    assert replica.usable(1.6)
    assert replica.weight(1.6) < 0.1
    assert replica.weight(7.0) == 1.0


def test_outlier_is_ejected_but_not_when_all_are_slow() -> None:
    """Guards against ejecting targets because the whole service is slow."""
    service = _service("a", "b", "c")
    for step in range(40):
        now = step * 0.01
        for name, latency in (("a", 0.4), ("b", 0.004), ("c", 0.004)):
            _get(service, name).on_submitted(now)
            _get(service, name).on_reply(now, latency)
    service.review(1.0)
    assert [_get(service, name).ejected for name in "abc"] == [True, False, False]
    slow = _service("a", "b", "c")
    for step in range(40):
        for name in "abc":
            _get(slow, name).on_submitted(step * 0.01)
            _get(slow, name).on_reply(step * 0.01, 0.4)
    slow.review(1.0)
    assert not any(_get(slow, name).ejected for name in "abc")


def test_stalled_target_is_ejected_without_a_single_reply() -> None:
    """Guards against statistics that see replies only."""
    service = _service("a", "b")
    for step in range(replicas.UNANSWERED_TO_EJECT):
        _get(service, "a").on_submitted(float(step))
        service.on_cancelled(float(step), "a", 0.1)
    assert _get(service, "a").ejected


def test_load_figure_is_bounded_and_expires() -> None:
    """Guards against a stale or false load figure that diverts all traffic."""
    replica = _get(_service("a"), "a")
    plain = replica.expected_wait(1.0, 0.01)
    replica.on_load(1.0, in_flight=1_000_000, slots=0)
    assert replica.expected_wait(1.5, 0.01) == plain * replicas.MAX_LOAD_FACTOR
    assert replica.expected_wait(2.5, 0.01) == plain
    assert replica.expected_wait(0.5, 0.01) == plain
    replica.on_load(3.0, in_flight=-5, slots=2)
    assert replica.expected_wait(3.0, 0.01) == plain


def test_exclusions_end_after_the_clock_stepped_back() -> None:
    """Guards against an exclusion that lasts as long as the step."""
    service = _service("a", "b")
    _lose(service, 10_000.0, "a")
    _get(service, "b").on_submitted(10_000.0)
    service.on_failure(10_000.0, "b", DRAINING)
    assert not _get(service, "a").usable(5.0)
    assert not _get(service, "b").usable(5.0)
    assert _get(service, "a").usable(5.0 + replicas.MAX_EJECTION_SECONDS)
    assert _get(service, "b").usable(5.0 + replicas.DRAINING_SECONDS)


def test_old_latency_fades_so_that_a_slow_target_is_tried_again() -> None:
    """Guards against two targets of which only one ever gets traffic again."""
    replica = _get(_service("a"), "a")
    replica.on_submitted(0.0)
    replica.on_reply(0.0, 1.0)
    assert replica.latency(0.0, 0.01) == pytest.approx(1.0)
    assert replica.latency(60.0, 0.01) < 0.02
