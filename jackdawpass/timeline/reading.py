"""Reads events from log files and replies of ``/v1/events``."""

import collections.abc

import msgspec

from jackdawpass.process import events


class _Line(msgspec.Struct):
    event: events.Event | None = None
    message_type: str = ""


class _Reply(msgspec.Struct):
    events: list[events.Event]
    next: int
    last: int


def from_log(lines: collections.abc.Iterable[bytes]) -> tuple[list[events.Event], int]:
    """Return the events in a log, and the number of unreadable lines.

    Lines of other message types are skipped, and so is the line with the port.
    """
    decoder = msgspec.json.Decoder(_Line)
    found = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            decoded = decoder.decode(line)
        except msgspec.MsgspecError:
            # The last line of a killed process may be incomplete.
            unreadable += 1
            continue
        if decoded.message_type == events.MESSAGE_TYPE and decoded.event is not None:
            found.append(decoded.event)
    return found, unreadable


def from_reply(document: object) -> tuple[list[events.Event], int, int]:
    """Return the events of a reply, the number to continue after, and the last one.

    Raises
    ------
    ValueError
        If the document is not a reply of ``/v1/events``.
    """
    reply = msgspec.convert(document, _Reply)
    return reply.events, reply.next, reply.last
