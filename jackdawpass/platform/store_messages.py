"""Messages of the platform's store.

Objects may come from other writers. One that cannot be decoded hides no others: it is
passed on undecoded, or skipped if it does not even give its name.
"""

import msgspec

from jackdawpass import errors
from jackdawpass.platform import json_parts
from jackdawpass.process import logs

_logger = logs.get_logger(__name__)


class Meta(msgspec.Struct):
    """Metadata that the store keeps for an object."""

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct):
    """An object; `spec` is the content that its writer stored, possibly malformed."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct):
    """A page of the list of objects.

    Attributes
    ----------
    at : int
        Revision of the store that the page reflects.
    more : bool
        Whether more objects follow after the last name of the page.
    """

    items: list[StoredObject]
    at: int
    more: bool = False


class Event(msgspec.Struct):
    """A change of an object."""

    object: StoredObject
    deleted: bool = False


class Events(msgspec.Struct):
    """Changes of objects; `at` is the revision from which to continue watching."""

    events: list[Event]
    at: int


def decode_page(body: bytes) -> Page:
    """Decode a page of a list.

    Raises
    ------
    One of `errors.DECODE_ERRORS`
        If the message itself is malformed.
    """
    try:
        return msgspec.json.decode(body, type=Page)
    except errors.DECODE_ERRORS:
        members = json_parts.split_object(body)
        objects = [
            _decode_object(text) for text in json_parts.split_array(members[b'"items"'])
        ]
        return Page(
            [stored for stored in objects if stored is not None],
            msgspec.json.decode(members[b'"at"'], type=int),
            msgspec.json.decode(members.get(b'"more"', b"false"), type=bool),
        )


def decode_events(body: bytes) -> Events:
    """Decode the answer to a watch.

    Raises
    ------
    One of `errors.DECODE_ERRORS`
        If the message itself is malformed.
    """
    try:
        return msgspec.json.decode(body, type=Events)
    except errors.DECODE_ERRORS:
        members = json_parts.split_object(body)
        events = [
            _decode_event(text) for text in json_parts.split_array(members[b'"events"'])
        ]
        return Events(
            [event for event in events if event is not None],
            msgspec.json.decode(members[b'"at"'], type=int),
        )


def _decode_event(text: bytes) -> Event | None:
    members = json_parts.split_object(text)
    stored = _decode_object(members[b'"object"'])
    if stored is None:
        return None
    deleted = msgspec.json.decode(members.get(b'"deleted"', b"false"), type=bool)
    return Event(stored, deleted)


def _decode_object(text: bytes) -> StoredObject | None:
    members = json_parts.split_object(text)
    try:
        meta = msgspec.json.decode(members[b'"meta"'], type=Meta)
    except errors.DECODE_ERRORS as error:
        _logger.error("stored_object_unreadable", reason=str(error))
        return None
    return StoredObject(meta, msgspec.Raw(members.get(b'"spec"', b"null")))
