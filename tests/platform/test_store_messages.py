"""Messages of the store with objects that cannot be decoded."""

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from jackdawpass import errors
from jackdawpass.platform import decoding, store_messages

SOUND = b'{"meta": {"name": "%s", "revision": 3, "created": 1}, "spec": {"n": 1}}'
NESTED = b"[" * 3000 + b"]" * 3000
UNREADABLE = {
    "nested": NESTED,
    "cut character": b'{"version": "spare \\ud83d"}',
    "brackets in a string": b'{"version": "]}, \\"{[ \\ud83d"}',
    "no JSON": b"nothing",
    "large number": b"1e999",
}


def _named(name: bytes, spec: bytes) -> bytes:
    return b'{"spec": ' + spec + b', "meta": {"name": "' + name + b'"}}'


def _page(*objects: bytes) -> bytes:
    return b'{"items": [' + b", ".join(objects) + b'], "at": 9, "more": true}'


@pytest.mark.parametrize("case", UNREADABLE)
def test_unreadable_object_hides_no_others_in_a_page(case: str) -> None:
    """Guards against a list that fails for one entry of another writer."""
    odd = _named(b"odd", UNREADABLE[case])
    page = store_messages.decode_page(_page(SOUND % b"a", odd, SOUND % b"z"))
    assert [each.meta.name for each in page.items] == ["a", "odd", "z"]
    assert (page.at, page.more) == (9, True)
    assert [bytes(each.spec).strip() for each in page.items] == [
        b'{"n": 1}',
        UNREADABLE[case],
        b'{"n": 1}',
    ]
    assert decoding.decode_target("odd", page.items[1].spec) is None


@pytest.mark.parametrize("case", UNREADABLE)
def test_unreadable_object_hides_no_others_in_a_watch(case: str) -> None:
    """Guards against a watch that fails for one change by another writer."""
    odd = b'{"object": ' + _named(b"odd", UNREADABLE[case]) + b', "deleted": true}'
    sound = b'{"object": ' + SOUND % b"a" + b"}"
    body = b'{"at": 9, "events": [' + odd + b"," + sound + b"]}"
    events = store_messages.decode_events(body)
    assert [(each.object.meta.name, each.deleted) for each in events.events] == [
        ("odd", True),
        ("a", False),
    ]
    assert events.at == 9


@pytest.mark.parametrize("meta", [b"{}", b"3", b'{"name": 3}', NESTED])
def test_object_without_a_name_is_skipped(meta: bytes) -> None:
    """Guards against a page that fails for an object that does not give its name."""
    page = store_messages.decode_page(_page(b'{"meta": ' + meta + b"}", SOUND % b"z"))
    assert [each.meta.name for each in page.items] == ["z"]


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items": [', b'{"items": []}', NESTED])
def test_malformed_message_is_an_error(body: bytes) -> None:
    """Guards against an empty list of targets from an answer that is not a list."""
    with pytest.raises(errors.DECODE_ERRORS):
        store_messages.decode_page(body)
    with pytest.raises(errors.DECODE_ERRORS):
        store_messages.decode_events(body)


JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
).map(msgspec.json.encode)


@hypothesis.seed(17)
@hypothesis.given(
    strategies.lists(JSON | strategies.sampled_from(list(UNREADABLE.values())))
)
def test_each_object_of_a_page_is_decoded_alone(specs: list[bytes]) -> None:
    """Guards against contents that change how their neighbours are read."""
    objects = [_named(b"%d" % number, spec) for number, spec in enumerate(specs)]
    page = store_messages.decode_page(_page(*objects))
    assert [each.meta.name for each in page.items] == [
        str(number) for number in range(len(specs))
    ]
    assert [bytes(each.spec).strip() for each in page.items] == specs


PIECES = [b'{"items":', b'"meta":{"name":"a"}', b'"spec":', b'"at":1', b'"events":']
PIECES += [b"[", b"]", b"{", b"}", b",", b":", b'"', b"\\", b"1e999", b"\xff", b"null"]


@hypothesis.seed(19)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(PIECES) | strategies.binary(max_size=3))
)
def test_arbitrary_bytes_raise_only_decode_errors(pieces: list[bytes]) -> None:
    """Guards against an answer of the store that ends the loop that follows it."""
    body = b"".join(pieces)
    for decode in (store_messages.decode_page, store_messages.decode_events):
        with contextlib.suppress(*errors.DECODE_ERRORS):
            decode(body)
    for decoder in decoding.DECODERS.values():
        decoder("main", msgspec.Raw(body))
