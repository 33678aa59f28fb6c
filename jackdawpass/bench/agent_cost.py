"""Measurement of exchanges of the target dialect through ``twisted.web``'s Agent.

The cost serves as a comparison for the client of the product. Reads the ports of the
targets, in the order of their shards, and the number of exchanges as JSON from standard
input. Writes the processor time per exchange in microseconds, which includes encoding
and decoding.
"""

import itertools
import json
import resource
import sys
import typing

from twisted.internet import defer, task
from twisted.web import client, http_headers

from jackdawpass.bench import layout
from jackdawpass.connection import dialect, platform_api
from jackdawpass.request import model

CONCURRENT_EXCHANGES = 10
WARM_UP_EXCHANGES = 100
ATTEMPT_TIMEOUT_SECONDS = 5.0
RESULT_LIMIT = 10

DeferredGenerator = typing.Generator[defer.Deferred[typing.Any], typing.Any, None]


class AgentClient:
    """Client that sends attempts to targets in round-robin order."""

    def __init__(self, reactor: typing.Any, ports: list[int]) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONCURRENT_EXCHANGES
        self._agent = client.Agent(reactor, pool=pool)
        self._wire = dialect.JsonDialect()
        self._ports = itertools.cycle(enumerate(ports))
        self._headers = http_headers.Headers({b"Content-Type": [b"application/json"]})

    @defer.inlineCallbacks
    def exchange(self, number: int) -> DeferredGenerator:
        """Send one attempt and check that its reply is valid."""
        shard, port = next(self._ports)
        attempt = _make_attempt(number, shard)
        request = self._wire.encode_run(attempt, ATTEMPT_TIMEOUT_SECONDS, b'"offers"')
        body = request.partition(b"\r\n\r\n")[2]
        response = yield self._agent.request(
            b"POST",
            f"http://127.0.0.1:{port}{dialect.RUN_PATH}".encode(),
            self._headers,
            platform_api.BytesProducer(body),
        )
        content = yield client.readBody(response)
        reply = dialect.HttpReply(response.code, content)
        self._wire.decode_run(attempt, reply).unwrap()


def _make_attempt(number: int, shard: int) -> model.Attempt:
    return model.Attempt(
        attempt_id=number,
        request_id="agent",
        service=layout.SERVICE,
        target="",
        shards=frozenset((shard,)),
        snapshot=layout.SNAPSHOT,
        deadline=0.0,
        limit=RESULT_LIMIT,
        kind=model.AttemptKind.FIRST,
    )


@defer.inlineCallbacks
def _measure(reactor: typing.Any, document: dict[str, typing.Any]) -> DeferredGenerator:
    agent = AgentClient(reactor, document["ports"])
    yield _exchange_all(agent, WARM_UP_EXCHANGES)
    before = _cpu_seconds()
    yield _exchange_all(agent, document["exchanges"])
    cpu_us = (_cpu_seconds() - before) / document["exchanges"] * 1_000_000
    print(json.dumps({"cpu_us": cpu_us}))


def _exchange_all(agent: AgentClient, count: int) -> defer.Deferred[typing.Any]:
    numbers = iter(range(1, count + 1))
    work = (agent.exchange(number) for number in numbers)
    cooperator = task.Cooperator()
    return defer.DeferredList(
        [cooperator.coiterate(work) for _ in range(CONCURRENT_EXCHANGES)],
        fireOnOneErrback=True,
    )


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Measure the processor time per exchange and print it."""
    document = json.load(sys.stdin)
    task.react(lambda reactor: _measure(reactor, document))


if __name__ == "__main__":
    main()
