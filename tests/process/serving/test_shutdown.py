"""Steps of a graceful shutdown."""

from jackdawpass.process.serving import shutdown

LIMIT = 6.0


def begin_shutdown() -> shutdown.Shutdown:
    steps = shutdown.Shutdown(LIMIT)
    steps.begin(10.0)
    return steps


def test_nothing_changes_before_the_signal() -> None:
    """Guards against closing connections without a stop signal."""
    steps = shutdown.Shutdown(LIMIT)
    assert steps.next_step(99.0, 0) is shutdown.Step.SERVE
    assert not steps.begun


def test_callers_are_served_until_the_balancer_has_removed_the_instance() -> None:
    """Guards against new callers that find the port closed."""
    step = begin_shutdown().next_step(10.0 + shutdown.BALANCER_REMOVAL_SECONDS - 0.1, 0)
    assert step is shutdown.Step.SERVE


def test_running_requests_finish_first() -> None:
    """Guards against requests that the shutdown aborts."""
    after = 10.0 + shutdown.BALANCER_REMOVAL_SECONDS + 0.1
    steps = begin_shutdown()
    assert steps.next_step(after, 1) is shutdown.Step.CLOSE_IDLE
    assert steps.next_step(after, 0) is shutdown.Step.STOP_LISTENING
    ended = after + shutdown.RECENT_SECONDS
    assert steps.next_step(ended, 1) is shutdown.Step.STOP_LISTENING
    assert steps.next_step(ended, 0) is shutdown.Step.CLOSE_ALL
    # Responses that are still being sent when their connections are closed.
    assert steps.next_step(ended + 1, 2) is shutdown.Step.STOP_LISTENING
    assert steps.next_step(ended + 1, 0) is shutdown.Step.EXIT


def test_last_accepted_callers_are_answered_before_the_exit() -> None:
    """Guards against cutting off a request that arrives just before the exit."""
    after = 10.0 + shutdown.BALANCER_REMOVAL_SECONDS + 0.1
    steps = begin_shutdown()
    assert steps.next_step(after, 0) is shutdown.Step.STOP_LISTENING
    soon = after + shutdown.RECENT_SECONDS / 2
    assert steps.next_step(soon, 0) is shutdown.Step.STOP_LISTENING
    assert shutdown.is_recent(soon, after) and not shutdown.is_recent(soon, 10.0)


def test_new_callers_are_not_accepted_up_to_the_kill() -> None:
    """Guards against callers without end that are cut off by the kill."""
    late = 10.0 + LIMIT - shutdown.LISTEN_MARGIN_SECONDS
    assert begin_shutdown().next_step(late, 9) is shutdown.Step.STOP_LISTENING


def test_open_requests_are_answered_before_the_kill() -> None:
    """Guards against a request that gets a closed connection for an answer."""
    steps = begin_shutdown()
    assert steps.seconds_left(11.0) == LIMIT - shutdown.EXPIRY_MARGIN_SECONDS - 1.0
    ends_at = 10.0 + LIMIT - shutdown.EXPIRY_MARGIN_SECONDS
    assert steps.next_step(ends_at, 3) is shutdown.Step.EXPIRE
    assert steps.next_step(ends_at + 0.1, 3) is shutdown.Step.STOP_LISTENING
    assert steps.seconds_left(ends_at + 0.1) == 0.0
    assert shutdown.Shutdown(LIMIT).seconds_left(11.0) is None


def test_process_ends_before_the_kill() -> None:
    """Guards against a kill while an answer is being sent."""
    assert begin_shutdown().next_step(10.0 + LIMIT - 0.1, 5) is shutdown.Step.EXIT


def test_second_signal_does_not_restart_the_shutdown() -> None:
    """Guards against a shutdown that restarts with each signal and never ends."""
    steps = begin_shutdown()
    steps.begin(12.0)
    assert steps.next_step(10.0 + LIMIT - 0.1, 5) is shutdown.Step.EXIT
