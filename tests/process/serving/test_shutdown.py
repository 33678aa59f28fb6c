"""The steps of a planned stop."""

from jackdawpass.process.serving import shutdown

LIMIT = 6.0


def begun() -> shutdown.Shutdown:
    stop = shutdown.Shutdown(LIMIT)
    stop.begin(10.0)
    return stop


def test_nothing_changes_before_the_signal() -> None:
    """Guards against closing connections in ordinary times."""
    stop = shutdown.Shutdown(LIMIT)
    assert stop.next_step(99.0, 0) is shutdown.Step.SERVE
    assert not stop.begun


def test_callers_are_served_until_the_balancer_has_noticed() -> None:
    """Guards against new callers who meet a closed port."""
    step = begun().next_step(10.0 + shutdown.BALANCER_SECONDS - 0.1, 0)
    assert step is shutdown.Step.SERVE


def test_requests_under_way_end_first() -> None:
    """Guards against requests that a stop cuts off."""
    after = 10.0 + shutdown.BALANCER_SECONDS + 0.1
    assert begun().next_step(after, 1) is shutdown.Step.CLOSE_IDLE
    assert begun().next_step(after, 0) is shutdown.Step.EXIT


def test_process_ends_before_the_kill() -> None:
    """Guards against a kill in the middle of an answer."""
    assert begun().next_step(10.0 + LIMIT - 0.1, 5) is shutdown.Step.EXIT


def test_second_signal_does_not_begin_again() -> None:
    """Guards against a stop that never comes to its end."""
    stop = begun()
    stop.begin(12.0)
    assert stop.next_step(10.0 + LIMIT - 0.1, 5) is shutdown.Step.EXIT
