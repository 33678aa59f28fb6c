"""Validation of the JSON body of a query and conversion into a typed request."""

import collections.abc
import math

import msgspec
from returns import result

from jackdawpass.request import model, problems

MAX_TIMEOUT_MS = 600_000
MAX_LIMIT = 10_000
FIELDS = frozenset(
    ("query", "timeout_ms", "limit", "min_coverage", "idempotent", "shard_key")
)

ParseResult = result.Result[model.QueryRequest, problems.Problem]


def parse_query(body: bytes) -> ParseResult:
    """Parse the body of a query.

    Parameters
    ----------
    body : bytes
        JSON object as sent by the caller.

    Returns
    -------
    Result of QueryRequest or Problem
        The problem lists every error in the body and has the outcome `not_run`.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Failure(_malformed([f"the body is not valid JSON ({error})"]))
    if not isinstance(document, dict):
        return result.Failure(_malformed(["the body must be a JSON object"]))
    errors = _find_errors(document)
    if errors:
        return result.Failure(_malformed(errors))
    return result.Success(_to_request(document))


def _malformed(errors: collections.abc.Sequence[str]) -> problems.Problem:
    detail = "; ".join(errors) + ". Correct the request body and send it again."
    return problems.not_run(problems.ProblemKind.MALFORMED_REQUEST, detail)


def _to_request(document: model.JsonObject) -> model.QueryRequest:
    timeout_ms = document.get("timeout_ms")
    return model.QueryRequest(
        query=document["query"],
        timeout=None if timeout_ms is None else timeout_ms / 1000,
        limit=document.get("limit"),
        min_coverage=document.get("min_coverage"),
        idempotent=document.get("idempotent", True),
        shard_key=document.get("shard_key"),
    )


def _find_errors(document: model.JsonObject) -> list[str]:
    errors = [
        f"field {name!r} is unknown; known fields are {', '.join(sorted(FIELDS))}"
        for name in sorted(document.keys() - FIELDS)
    ]
    if "query" not in document:
        errors.append("field 'query' is required")
    errors += _integer_errors(document, "timeout_ms", 1, MAX_TIMEOUT_MS)
    errors += _integer_errors(document, "limit", 1, MAX_LIMIT)
    errors += _coverage_errors(document)
    errors += _idempotency_errors(document)
    return errors


def _integer_errors(
    document: model.JsonObject, name: str, low: int, high: int
) -> list[str]:
    if name not in document:
        return []
    value = document[name]
    if type(value) is int and low <= value <= high:
        return []
    return [f"field {name!r} must be an integer from {low} to {high}"]


def _coverage_errors(document: model.JsonObject) -> list[str]:
    if "min_coverage" not in document:
        return []
    value = document["min_coverage"]
    is_number = type(value) in (int, float) and math.isfinite(value)
    if is_number and 0 <= value <= 1:
        return []
    return ["field 'min_coverage' must be a number from 0 to 1"]


def _idempotency_errors(document: model.JsonObject) -> list[str]:
    errors = []
    idempotent = document.get("idempotent", True)
    shard_key = document.get("shard_key")
    if type(idempotent) is not bool:
        errors.append("field 'idempotent' must be true or false")
    if "shard_key" in document and not isinstance(shard_key, str):
        errors.append("field 'shard_key' must be a string")
    if idempotent is False and shard_key is None:
        errors.append("a non-idempotent request must name its 'shard_key'")
    if idempotent is True and shard_key is not None:
        errors.append("field 'shard_key' is only for non-idempotent requests")
    return errors
