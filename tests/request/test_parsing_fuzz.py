"""Parsing of arbitrary request bodies, which never raises an exception."""

import json

import hypothesis
import msgspec
from hypothesis import strategies as st
from returns import result

from jackdawpass.request import model, parsing, problems

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.dictionaries(st.sampled_from(sorted(parsing.FIELDS)), JSON, max_size=6)


def _check(parsed: parsing.ParseResult) -> None:
    if isinstance(parsed, result.Failure):
        problem = parsed.failure()
        assert problem.outcome is model.Outcome.NOT_RUN
        assert problem.kind is problems.ProblemKind.MALFORMED_REQUEST
        msgspec.json.encode(problems.to_document(problem, "r"))
        return
    request = parsed.unwrap()
    assert request.timeout is None or request.timeout > 0
    assert request.limit is None or request.limit > 0
    assert request.min_coverage is None or 0 <= request.min_coverage <= 1
    assert request.idempotent or request.shard_key is not None


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes(body: bytes) -> None:
    """Guards against an exception for truncated or wrongly encoded bodies."""
    _check(parsing.parse_query(body))


@hypothesis.given(FIELDS)
def test_arbitrary_values_of_known_fields(document: dict[str, object]) -> None:
    """Guards against a wrong type or range that reaches the state machines."""
    _check(parsing.parse_query(json.dumps(document).encode()))


def test_deep_nesting() -> None:
    """Guards against a body that exhausts the stack."""
    _check(parsing.parse_query(b'{"query":' + b"[" * 100_000))
