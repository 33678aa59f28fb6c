"""Decoding of peer frames and platform replies, including malformed ones."""

import dataclasses

import cbor2
import hypothesis
import msgspec
import pytest
from hypothesis import strategies
from returns import result

from jackdawpass.connection import frames, platform_api

HASH = bytes(32)
EXAMPLES = (
    frames.Hello("entry-1", "i1", "a", "127.0.0.1:1", 3),
    frames.Have(4),
    frames.Want(3),
    frames.Update(4, "w", "", 3, {"x": (HASH,)}, ("y",), HASH, (b"content",)),
    frames.Need((HASH,)),
    frames.Chunks((b"content",)),
    frames.Members((frames.ReportedMember("e", "a", "h:1"),), ("lots-a",), 1),
    frames.Ping(4, -1),
    frames.Probe("entry-2", "127.0.0.1:2"),
    frames.Probed("entry-2", True),
    frames.Bye(True),
)

cbor_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=40),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@pytest.mark.parametrize("frame", EXAMPLES, ids=lambda frame: type(frame).__name__)
def test_frame_round_trip_ignores_unknown_fields(frame: frames.Frame) -> None:
    """Guards against a field lost in encoding and against refusing newer peers."""
    document = cbor2.loads(frames.encode(frame))
    document["added_later"] = {"any": 1}
    assert frames.decode(cbor2.dumps(document)).unwrap() == frame


@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_give_a_typed_error(data: bytes) -> None:
    """Guards against an exception that escapes the decoder."""
    frames.decode(data)


@hypothesis.given(
    strategies.sampled_from(EXAMPLES),
    strategies.integers(min_value=0),
    strategies.binary(min_size=1, max_size=6),
)
def test_damaged_frame_gives_a_typed_error(
    frame: frames.Frame, position: int, damage: bytes
) -> None:
    """Guards against an exception while decoding a nearly valid frame."""
    data = bytearray(frames.encode(frame))
    start = position % len(data)
    data[start : start + len(damage)] = damage
    frames.decode(bytes(data))


@hypothesis.given(strategies.sampled_from(EXAMPLES), strategies.data())
def test_wrong_types_give_a_typed_error(
    frame: frames.Frame, data: strategies.DataObject
) -> None:
    """Guards against an exception for a well-formed frame with wrong types."""
    document = cbor2.loads(frames.encode(frame))
    name = data.draw(
        strategies.sampled_from([f.name for f in dataclasses.fields(frame)])
    )
    document[name] = data.draw(cbor_values)
    frames.decode(cbor2.dumps(document))


def _nested(depth: int) -> bytes:
    return b"\x81" * depth + b"\x00"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        _nested(100),
        _nested(100_000),
        b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\xbb\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\xd8\x23\x61(",
        b"\xc1\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00",
        cbor2.dumps({"v": 2, "t": "have", "version": 1}),
        cbor2.dumps({"v": 1, "t": ["have"], "version": 1}),
        cbor2.dumps({"v": 1, "t": "have", "version": -1}),
        cbor2.dumps({"v": 1, "t": "have", "version": 2**80}),
        cbor2.dumps({"v": 1, "t": "need", "hashes": [HASH] * 257}),
        cbor2.dumps({"v": 1, "t": "need", "hashes": [b"short"]}),
        bytes(frames.MAX_FRAME_BYTES + 1),
    ],
    ids=range(15),
)
def test_malformed_frame_is_refused(data: bytes) -> None:
    """Guards against unbounded nesting, lengths, numbers and lists."""
    assert isinstance(frames.decode(data), result.Failure)


@hypothesis.given(
    strategies.integers(min_value=100, max_value=599),
    strategies.binary(max_size=60) | cbor_values.map(repr).map(str.encode),
)
def test_arbitrary_platform_reply_gives_a_typed_result(
    status: int, body: bytes
) -> None:
    """Guards against an exception for an arbitrary reply of the platform."""
    reply = platform_api._Reply(status, body)
    platform_api._decode_object("head", reply)
    platform_api._decode_watch("head", reply)
    platform_api._decode_write("head", reply)
    platform_api._decode_instances(reply)


@hypothesis.given(strategies.data())
def test_wrong_types_in_platform_replies_give_a_typed_result(
    data: strategies.DataObject,
) -> None:
    """Guards against an exception for JSON of another shape."""
    values = cbor_values.filter(_is_json)
    listed = {"id": 1, "role": "entry", "zone": "a", "address": "h:1", "state": "live"}
    name = data.draw(strategies.sampled_from(sorted(listed)))
    document = data.draw(
        values
        | values.map(lambda each: {"instances": each})
        | values.map(lambda each: {"instances": [{**listed, name: each}]})
        | values.map(lambda each: {"version": each, "value": each})
    )
    reply = platform_api._Reply(200, msgspec.json.encode(document))
    platform_api._decode_object("head", reply)
    platform_api._decode_write("head", reply)
    platform_api._decode_instances(reply)


@pytest.mark.parametrize("opening", [b"[", b'{"a":', b'{"instances":['])
def test_deeply_nested_platform_reply_gives_a_typed_result(opening: bytes) -> None:
    """Guards against RecursionError, which is not a decoding error of msgspec."""
    reply = platform_api._Reply(200, opening * 100_000)
    assert isinstance(platform_api._decode_object("head", reply), result.Failure)
    assert isinstance(platform_api._decode_write("head", reply), result.Failure)
    assert isinstance(platform_api._decode_instances(reply), result.Failure)


def _is_json(value: object) -> bool:
    try:
        msgspec.json.encode(value)
    except (TypeError, ValueError, OverflowError):
        return False
    return True
