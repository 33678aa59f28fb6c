"""Decoders of events from log files and from replies of ``/v1/events``."""

import collections.abc
import dataclasses

import msgspec

from jackdawpass.process import events
from jackdawpass.timeline import front_log


@dataclasses.dataclass(frozen=True, slots=True)
class LogContent:
    """Events of a log, and the number of lines that could not be decoded."""

    events: list[events.Event]
    unreadable_lines: int


class Page(msgspec.Struct):
    """Reply of ``/v1/events``.

    Attributes
    ----------
    next : int
        Value of ``after`` in the request for the next page.
    last : int
        Sequence number of the latest event of the process.
    """

    events: list[events.Event]
    next: int
    last: int


class _LogLine(front_log.Line):
    event: events.Event | None = None


def decode_log(lines: collections.abc.Iterable[bytes]) -> LogContent:
    """Decode the events in a log.

    Lines that describe no event are skipped, such as the line with the port. Text
    before the first brace of a line is ignored, because log collectors add a prefix.
    """
    decoder = msgspec.json.Decoder(_LogLine)
    converter = front_log.EventConverter()
    log_events = []
    unreadable_lines = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            decoded = decoder.decode(line[max(0, line.find(b"{")) :])
        except msgspec.MsgspecError:
            # A killed process may leave an incomplete last line.
            unreadable_lines += 1
            continue
        event = decoded.event
        if decoded.message_type != events.MESSAGE_TYPE:
            event = converter.convert(decoded)
        if event is not None:
            log_events.append(event)
    return LogContent(log_events, unreadable_lines)


def decode_page(document: object) -> Page:
    """Decode a reply of ``/v1/events``.

    Raises
    ------
    ValueError
        If the document is not a reply of ``/v1/events``.
    """
    return msgspec.convert(document, Page)
