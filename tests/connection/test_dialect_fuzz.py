"""Decoding of arbitrary replies of targets, which never raises an exception."""

import json

import hypothesis
from hypothesis import strategies as st
from returns import result

from jackdawpass.connection import dialect
from jackdawpass.request import model

ATTEMPT = model.Attempt(
    attempt_id=1,
    request_id="r",
    service="lots",
    target="lots-a",
    shards=frozenset((0, 1)),
    snapshot="s1",
    deadline=1.0,
    limit=10,
    kind=model.AttemptKind.FIRST,
)
WIRE = dialect.JsonDialect()
STATUS = st.sampled_from((200, 201, 400, 503))
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(("0", "1", "id", "score", "x")), inner)
    ),
    max_leaves=8,
)
MEMBERS = ("request_id", "attempt_id", "snapshot", "shards", "kind", "ran", "held")
DOCUMENTS = st.dictionaries(st.sampled_from(MEMBERS), JSON).map(
    lambda document: {"request_id": "r", "attempt_id": 1, **document}
)


def _check(decoded: dialect.RunResult) -> None:
    if isinstance(decoded, result.Failure):
        failure = decoded.failure()
        if failure.kind is model.FailureKind.MISMATCHED_REPLY:
            assert failure.execution is model.Execution.MAY_HAVE_RUN
        return
    reply = decoded.unwrap()
    assert (reply.request_id, reply.attempt_id) == ("r", 1)


@hypothesis.given(STATUS, st.binary(max_size=200))
def test_arbitrary_bytes(status: int, body: bytes) -> None:
    """Guards against an exception that leaves an attempt without an end."""
    _check(WIRE.decode_run(ATTEMPT, dialect.HttpReply(status, body)))
    WIRE.decode_health(dialect.HttpReply(status, body))


@hypothesis.given(STATUS, DOCUMENTS)
def test_arbitrary_members(status: int, document: dict[str, object]) -> None:
    """Guards against wrong types in an otherwise plausible reply."""
    body = json.dumps(document).encode()
    _check(WIRE.decode_run(ATTEMPT, dialect.HttpReply(status, body)))


def test_deep_nesting() -> None:
    """Guards against a reply that exhausts the stack."""
    head = b'{"request_id":"r","attempt_id":1,"snapshot":"s1","shards":'
    reply = dialect.HttpReply(200, head + b"[" * 100_000)
    _check(WIRE.decode_run(ATTEMPT, reply))


@hypothesis.given(STATUS, st.sampled_from((b"value", b"unknown")))
def test_nested_values(status: int, field: bytes) -> None:
    """Guards against an attempt without an end after a value that is nested deeply."""
    nested = b"[" * 3000 + b"]" * 3000
    item = b'{"id": "a", "score": 1.0, "' + field + b'": ' + nested + b"}"
    head = b'{"request_id": "r", "attempt_id": 1, "snapshot": "s1", "kind": "shed"'
    body = head + b', "x": ' + nested + b', "shards": {"0": [' + item + b"]}}"
    _check(WIRE.decode_run(ATTEMPT, dialect.HttpReply(status, body)))
    assert not WIRE.decode_health(dialect.HttpReply(200, body))
