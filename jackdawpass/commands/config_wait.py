"""Operators' command that waits until instances have accepted a version."""

import collections.abc
import dataclasses
import typing

import msgspec
from returns import result
from twisted.internet import defer, task
from twisted.web import client

from jackdawpass import clock
from jackdawpass.commands import console, reports, session

POLL_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 2.0
STATUS_PATHS = ("/v1/status", "/readyz")
VERSION_FIELD = "configuration_version"


@dataclasses.dataclass(frozen=True, slots=True)
class Polled:
    """What an instance reported last.

    Attributes
    ----------
    version : int or None
        Accepted version; None when the instance reports none.
    ready : bool
        True when the instance answered that it is ready.
    """

    version: int | None = None
    ready: bool = False


@defer.inlineCallbacks
def wait(
    version: int,
    instances: collections.abc.Sequence[str],
    timeout_seconds: float,
    current: session.Session,
) -> session.Steps[session.ReportResult]:
    """Poll instances until each has accepted `version` or a newer one."""
    agent = client.Agent(current.reactor, connectTimeout=CALL_TIMEOUT_SECONDS)
    started = clock.monotonic()
    while True:
        polls = [_poll(current.reactor, agent, address) for address in instances]
        answers = yield defer.gatherResults(polls)
        polled = dict(zip(instances, answers, strict=True))
        behind = [name for name in instances if not _has(polled[name], version)]
        elapsed = clock.monotonic() - started
        if not behind:
            return result.Success(_report(version, polled, elapsed))
        if elapsed >= timeout_seconds:
            return result.Failure(_behind(version, behind, polled))
        reports.show_progress(f"waiting for {len(behind)} of {len(instances)}")
        yield task.deferLater(current.reactor, POLL_SECONDS)


def _has(polled: Polled, version: int) -> bool:
    return polled.version is not None and polled.version >= version


@defer.inlineCallbacks
def _poll(
    reactor: typing.Any, agent: typing.Any, address: str
) -> session.Steps[Polled]:
    polled = Polled()
    for path in STATUS_PATHS:
        try:
            pending = agent.request(b"GET", f"http://{address}{path}".encode("ascii"))
            pending.addCallback(client.readBody)
            body = yield pending.addTimeout(CALL_TIMEOUT_SECONDS, reactor)
            polled = _decode(msgspec.json.decode(body))
        except Exception:
            # An instance that does not answer has not reported the version.
            continue
        if polled.version is not None:
            return polled
    return polled


def _decode(document: typing.Any) -> Polled:
    version = document.get(VERSION_FIELD)
    return Polled(
        version if type(version) is int else None, document.get("ready") is True
    )


def _report(version: int, polled: dict[str, Polled], elapsed: float) -> reports.Report:
    versions = {name: each.version for name, each in polled.items()}
    document = {
        "version": version,
        "instances": versions,
        "elapsed_ms": round(elapsed * 1000),
    }
    text = f"version {version} is in force on {len(versions)} instances"
    return reports.Report(document, text)


def _behind(
    version: int, names: list[str], polled: dict[str, Polled]
) -> console.Failed:
    listed = ", ".join(f"{name} ({_state(polled[name])})" for name in names)
    return console.Failed(
        f"version {version} is not in force on {listed}; "
        "check these instances, or wait longer with --timeout"
    )


def _state(polled: Polled) -> str:
    if polled.version is not None:
        return f"version {polled.version}"
    return "ready, reports no version" if polled.ready else "no answer"
