"""Sample events with a hedge, a retry, a cancellation and a new version."""

from jackdawpass.process import events

START = 1_700_000_000.0


class EventWriter:
    """Writer of the events of a process whose wall clock is off by `offset` seconds."""

    def __init__(self, process: str, offset: float = 0.0) -> None:
        self._process = process
        self._offset = offset
        self.events: list[events.Event] = []

    def emit(
        self,
        milliseconds: float,
        kind: events.Kind,
        cause: events.Reference | None = None,
        attempt: tuple[int, str, str] = (0, "", ""),
        request_id: str = "4f2a91c0",
        detail: str = "",
    ) -> events.Reference:
        """Add an event at a time without clock offset and return its reference."""
        attempt_id, attempt_kind, target = attempt
        seconds = milliseconds / 1000
        event = events.Event(
            process=self._process,
            instance=self._process.rsplit("-", 1)[0],
            zone="a",
            seq=len(self.events) + 1,
            kind=kind,
            wall=START + seconds + self._offset,
            monotonic=100 + seconds,
            request_id=request_id,
            attempt_id=attempt_id,
            service="lots" if request_id else "",
            target=target,
            attempt_kind=attempt_kind,
            detail=detail,
            version=1,
            cause=cause,
        )
        self.events.append(event)
        return events.Reference(self._process, event.seq)


def two_instances() -> list[events.Event]:
    """Return events of two instances; the second one's clock is 3 s behind."""
    kind = events.Kind
    first_writer = EventWriter("entry-1-aaaaaaaa")
    second_writer = EventWriter("entry-2-bbbbbbbb", offset=-3.0)
    in_force = first_writer.emit(0, kind.VERSION_IN_FORCE, request_id="", detail="7")
    answered = second_writer.emit(
        2, kind.VERSION_IN_FORCE, in_force, request_id="", detail="7"
    )
    accepted = first_writer.emit(4, kind.REQUEST_ACCEPTED, answered)
    first, second = (1, "first", "lots-a"), (2, "first", "lots-b")
    hedge, retry = (3, "hedge", "lots-c"), (4, "retry", "lots-d")
    queued = first_writer.emit(4.2, kind.ATTEMPT_QUEUED, accepted, first)
    other = first_writer.emit(4.3, kind.ATTEMPT_QUEUED, accepted, second)
    sent = first_writer.emit(6, kind.ATTEMPT_SENT, queued, first)
    other = first_writer.emit(6.1, kind.ATTEMPT_SENT, other, second)
    failed = first_writer.emit(9, kind.ATTEMPT_FAILED, other, second, detail="shed")
    retried = first_writer.emit(9.1, kind.ATTEMPT_QUEUED, failed, retry)
    retried = first_writer.emit(9.4, kind.ATTEMPT_SENT, retried, retry)
    hedged = first_writer.emit(16, kind.ATTEMPT_QUEUED, sent, hedge)
    hedged = first_writer.emit(16.2, kind.ATTEMPT_SENT, hedged, hedge)
    first_writer.emit(18, kind.ATTEMPT_REPLIED, retried, retry)
    replied = first_writer.emit(21, kind.ATTEMPT_REPLIED, hedged, hedge)
    first_writer.emit(21.1, kind.ATTEMPT_CANCELLED, replied, first)
    first_writer.emit(21.2, kind.REQUEST_FINISHED, replied, detail="complete")
    second_writer.emit(23, kind.DRAIN_STARTED, request_id="")
    second_writer.emit(24, kind.REQUEST_ACCEPTED, request_id="77<b>d0e1")
    second_writer.emit(
        24.1, kind.REQUEST_FINISHED, request_id="77<b>d0e1", detail="not_run"
    )
    return first_writer.events + second_writer.events
