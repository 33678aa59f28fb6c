"""Concurrent queries from several callers, and checks of their answers."""

import concurrent.futures
import itertools
import time
import typing

from tests import rig

TIMEOUT_MS = 3000


def query(
    entry: rig.Process, service: str, text: str, **fields: typing.Any
) -> rig.HttpAnswer:
    """Send one query."""
    document = {"query": text, "limit": 1000, "timeout_ms": TIMEOUT_MS, **fields}
    return rig.call("POST", f"{entry.url}/v1/services/{service}/query", document)


class Callers:
    """Concurrent callers; each sends one query at a time until stopped."""

    def __init__(self, entry: rig.Process, service: str, count: int = 4) -> None:
        self._entry = entry
        self._service = service
        self._stopping = False
        self._numbers = itertools.count()
        self._refusals = 0
        self._pool = concurrent.futures.ThreadPoolExecutor(count)
        self._running = [self._pool.submit(self._send) for _ in range(count)]

    @property
    def refusals(self) -> int:
        """Number of answers so far that say that the query has not run."""
        return self._refusals

    def _send(self) -> list[tuple[str, rig.HttpAnswer]]:
        answers = []
        while not self._stopping:
            text = f"query-{next(self._numbers)}"
            answer = query(self._entry, self._service, text)
            answers.append((text, answer))
            if answer.document.get("outcome") == "not_run":
                self._refusals += 1
            time.sleep(0.002)
        return answers

    def stop(self) -> list[tuple[str, rig.HttpAnswer]]:
        """Stop the callers and return each query with its answer."""
        self._stopping = True
        answers = [each for running in self._running for each in running.result()]
        self._pool.shutdown()
        return answers


def check_answer(text: str, answer: rig.HttpAnswer, items_per_shard: int = 5) -> None:
    """Check that an answer is consistent, of one snapshot and of its own query."""
    document = answer.document
    coverage = document["coverage"]
    missing = {entry["shard"] for entry in coverage["missing"]}
    covered = set(range(coverage["shards"])) - missing
    values = [item["value"] for item in document["results"]]
    assert {value["query"] for value in values} <= {text}, "results of another query"
    assert {value["snapshot"] for value in values} <= {document["snapshot"]}
    assert {value["shard"] for value in values} == covered
    assert coverage["covered"] == len(covered)
    assert document["complete"] == (not missing)
    ids = [item["id"] for item in document["results"]]
    assert len(ids) == len(set(ids)) == items_per_shard * len(covered)


def check_all(answers: list[tuple[str, rig.HttpAnswer]]) -> int:
    """Check all answers with status 200 and return their number."""
    answered = [(text, answer) for text, answer in answers if answer.status == 200]
    for text, answer in answered:
        check_answer(text, answer)
    return len(answered)
