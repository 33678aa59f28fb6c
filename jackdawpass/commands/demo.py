"""Command `demo`: run all components in one process and check three queries."""

import argparse
import json
import random
import typing

import msgspec
from returns import result
from twisted.internet import defer, task
from twisted.web import client

from jackdawpass.commands import console, reports
from jackdawpass.connection import platform_api
from jackdawpass.process import adaptive, commits, entry, settings
from jackdawpass.standins import platform, target
from jackdawpass.version import parts

ZONES = ("a", "b", "c")
SHARDS = 6
SERVICE = "lots"
READY_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05

DeferredGenerator = typing.Generator[defer.Deferred[typing.Any], typing.Any, None]


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(
        subparsers, "demo", __doc__, "example:\n  jackdawpass demo\n"
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the demo; return 0 if all three queries have the expected outcome."""
    from twisted.internet import reactor

    demo = Demo(reactor)
    demo.run().addErrback(demo.fail).addBoth(lambda _: reactor.stop())
    reactor.run()
    return console.EXIT_DONE if demo.passed else console.EXIT_FAILED


class Demo:
    """A platform, one target per zone and an entry instance on one reactor."""

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._agent = client.Agent(reactor)
        self._targets: dict[str, tuple[target.TargetStandIn, typing.Any]] = {}
        self._passed = False

    @property
    def passed(self) -> bool:
        """True once all three queries had the expected outcome."""
        return self._passed

    def fail(self, failure: typing.Any) -> None:
        """Print why the demo failed."""
        error = console.Failed(f"demo failed: {failure.getErrorMessage()}")
        reports.show_failure(error, console.TEXT_FORMAT)

    @defer.inlineCallbacks
    def run(self) -> DeferredGenerator:
        """Start all components, send three queries and check the outcomes."""
        platform_port = platform.PlatformStandIn(self._reactor).listen()
        url = f"http://127.0.0.1:{platform_port.getHost().port}"
        for shard, zone in enumerate(ZONES):
            self._start_target(zone, [2 * shard, 2 * shard + 1])
        committed = yield commits.commit(
            platform_api.HttpPlatformClient(self._reactor, url), self._configuration()
        )
        _require(isinstance(committed, result.Success), f"commit: {committed}")
        options = settings.EntrySettings("entry-1", "a", "demo", platform_url=url)
        instance = entry.Entry(
            self._reactor, options, adaptive.AdaptivePolicy("a", random.Random())
        )
        instance.start()
        yield self._wait_until_ready(instance)
        yield self._check_complete_answer(instance)
        yield self._check_partial_answer(instance)
        yield self._check_refused_query(instance)
        yield instance.stop()
        self._passed = True

    def _start_target(self, zone: str, shards: list[int]) -> None:
        options = target.TargetOptions(
            name=f"{SERVICE}-{zone}", zone=zone, snapshots={"s1": shards}
        )
        stand_in = target.TargetStandIn(self._reactor, options)
        self._targets[zone] = (stand_in, stand_in.listen())

    def _configuration(self) -> dict[str, bytes | None]:
        targets = {
            f"{SERVICE}-{zone}": {
                "host": "127.0.0.1",
                "port": listening_port.getHost().port,
                "zone": zone,
            }
            for zone, (_, listening_port) in self._targets.items()
        }
        base = {"services": {SERVICE: {"targets": targets}}}
        placement = {
            f"{SERVICE}-{zone}": [2 * position, 2 * position + 1]
            for position, zone in enumerate(ZONES)
        }
        index = {"snapshot": "s1", "shards": SHARDS, "placement": placement}
        changes: dict[str, bytes | None] = dict(parts.split_base(base))
        changes[parts.INDEX_PREFIX + SERVICE] = parts.encode(index)
        return changes

    @defer.inlineCallbacks
    def _wait_until_ready(self, instance: entry.Entry) -> DeferredGenerator:
        for _ in range(round(READY_TIMEOUT_SECONDS / POLL_SECONDS)):
            if instance.ready:
                return
            yield task.deferLater(self._reactor, POLL_SECONDS)
        raise RuntimeError("the entry instance did not become ready")

    @defer.inlineCallbacks
    def _check_complete_answer(self, instance: entry.Entry) -> DeferredGenerator:
        answer = yield self._query(instance, SERVICE)
        _print_document("complete answer", answer)
        _require(answer.get("complete") is True, "the answer is not complete")
        ids = [item["id"] for item in answer["results"]]
        _require(len(ids) == len(set(ids)), "a result is duplicated")

    @defer.inlineCallbacks
    def _check_partial_answer(self, instance: entry.Entry) -> DeferredGenerator:
        stand_in, listening_port = self._targets["c"]
        yield listening_port.stopListening()
        stand_in.close_connections()
        answer = yield self._query(instance, SERVICE)
        _print_document("partial answer after a target was killed", answer)
        missing = [entry["shard"] for entry in answer["coverage"]["missing"]]
        _require(answer["complete"] is False, "the answer claims to be complete")
        _require(missing == [4, 5], f"the missing shards are {missing}")

    @defer.inlineCallbacks
    def _check_refused_query(self, instance: entry.Entry) -> DeferredGenerator:
        received_before = sum(
            each.totals["received"] for each, _ in self._targets.values()
        )
        problem = yield self._query(instance, "unknown")
        _print_document("refused query", problem)
        _require(problem.get("outcome") == "not_run", "the outcome is not not_run")
        received_after = sum(
            each.totals["received"] for each, _ in self._targets.values()
        )
        _require(
            received_before == received_after, "a target received the refused query"
        )

    @defer.inlineCallbacks
    def _query(
        self, instance: entry.Entry, service: str
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]:
        url = f"http://127.0.0.1:{instance.port}/v1/services/{service}/query"
        body = platform_api.BytesProducer(b'{"query": "offers", "limit": 3}')
        response = yield self._agent.request(b"POST", url.encode(), bodyProducer=body)
        content = yield client.readBody(response)
        return msgspec.json.decode(content)


def _print_document(title: str, document: object) -> None:
    print(f"== {title}")
    print(json.dumps(document, indent=2))


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise RuntimeError(message)
