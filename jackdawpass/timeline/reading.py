"""Reads events from log files and replies of ``/v1/events``."""

import collections.abc
import dataclasses

import msgspec

from jackdawpass.process import events
from jackdawpass.timeline import front_log


@dataclasses.dataclass(frozen=True, slots=True)
class LogContent:
    """Events of a log, and the number of lines that could not be read."""

    events: list[events.Event]
    unreadable: int


class Page(msgspec.Struct):
    """Reply of ``/v1/events``.

    Attributes
    ----------
    next : int
        Sequence number after which the next page begins.
    last : int
        Sequence number of the latest event of the process.
    """

    events: list[events.Event]
    next: int
    last: int


class _Line(front_log.Line):
    event: events.Event | None = None


def from_log(lines: collections.abc.Iterable[bytes]) -> LogContent:
    """Read the events in a log.

    Lines of other message types are skipped, and so is the line with the port. What
    stands before a line's first brace is skipped too: collectors of logs add a prefix.
    """
    decoder = msgspec.json.Decoder(_Line)
    fronts = front_log.Reader()
    found = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            decoded = decoder.decode(line[max(0, line.find(b"{")) :])
        except msgspec.MsgspecError:
            # The last line of a killed process may be incomplete.
            unreadable += 1
            continue
        event = decoded.event
        if decoded.message_type != events.MESSAGE_TYPE:
            event = fronts.read(decoded)
        if event is not None:
            found.append(event)
    return LogContent(found, unreadable)


def from_reply(document: object) -> Page:
    """Read a reply of ``/v1/events``.

    Raises
    ------
    ValueError
        If the document is not a reply of ``/v1/events``.
    """
    return msgspec.convert(document, Page)
