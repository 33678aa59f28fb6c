"""Command that waits until a version is in force on instances."""

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
class InstanceStatus:
    """Status that an instance reported in the last poll.

    Attributes
    ----------
    version : int or None
        Version in force; None if the instance reports none.
    ready : bool
        Whether the instance reports that it is ready.
    """

    version: int | None = None
    ready: bool = False


@defer.inlineCallbacks
def wait(
    version: int,
    instances: collections.abc.Sequence[str],
    timeout_seconds: float,
    platform_session: session.Session,
) -> session.DeferredGenerator[session.ReportResult]:
    """Poll instances until `version` or a newer version is in force on each."""
    agent = client.Agent(platform_session.reactor, connectTimeout=CALL_TIMEOUT_SECONDS)
    started = clock.monotonic()
    while True:
        polls = [
            _poll_status(platform_session.reactor, agent, address)
            for address in instances
        ]
        replies = yield defer.gatherResults(polls)
        statuses = dict(zip(instances, replies, strict=True))
        behind = [
            name for name in instances if not _has_version(statuses[name], version)
        ]
        elapsed = clock.monotonic() - started
        if not behind:
            return result.Success(_report(version, statuses, elapsed))
        if elapsed >= timeout_seconds:
            return result.Failure(_timeout_error(version, behind, statuses))
        reports.show_progress(f"waiting for {len(behind)} of {len(instances)}")
        yield task.deferLater(platform_session.reactor, POLL_SECONDS)


def _has_version(status: InstanceStatus, version: int) -> bool:
    return status.version is not None and status.version >= version


@defer.inlineCallbacks
def _poll_status(
    reactor: typing.Any, agent: typing.Any, address: str
) -> session.DeferredGenerator[InstanceStatus]:
    status = InstanceStatus()
    for path in STATUS_PATHS:
        try:
            pending = agent.request(b"GET", f"http://{address}{path}".encode("ascii"))
            pending.addCallback(client.readBody)
            body = yield pending.addTimeout(CALL_TIMEOUT_SECONDS, reactor)
            status = _decode_status(msgspec.json.decode(body))
        except Exception:
            # Any failure counts as a poll without a version.
            continue
        if status.version is not None:
            return status
    return status


def _decode_status(document: typing.Any) -> InstanceStatus:
    version = document.get(VERSION_FIELD)
    return InstanceStatus(
        version if type(version) is int else None, document.get("ready") is True
    )


def _report(
    version: int, statuses: dict[str, InstanceStatus], elapsed: float
) -> reports.Report:
    versions = {name: each.version for name, each in statuses.items()}
    document = {
        "version": version,
        "instances": versions,
        "elapsed_ms": round(elapsed * 1000),
    }
    text = f"version {version} is in force on {len(versions)} instances"
    return reports.Report(document, text)


def _timeout_error(
    version: int, names: list[str], statuses: dict[str, InstanceStatus]
) -> console.Failed:
    listed = ", ".join(f"{name} ({_describe(statuses[name])})" for name in names)
    return console.Failed(
        f"version {version} is not in force on {listed}; "
        "check these instances, or wait longer with --timeout"
    )


def _describe(status: InstanceStatus) -> str:
    if status.version is not None:
        return f"version {status.version}"
    return "ready, reports no version" if status.ready else "no answer"
