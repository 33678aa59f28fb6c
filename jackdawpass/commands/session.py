"""Session of a command that calls the platform, on the reactor of the process."""

import argparse
import collections.abc
import dataclasses
import typing
import urllib.parse

from returns import result
from twisted.internet import defer
from twisted.python import failure

from jackdawpass import errors
from jackdawpass.commands import console, reports
from jackdawpass.connection import platform_api
from jackdawpass.process import retry, version_store
from jackdawpass.version import parts

DEFAULT_PLATFORM_URL = "http://127.0.0.1:8500"

T = typing.TypeVar("T")
DeferredGenerator = typing.Generator[defer.Deferred[typing.Any], typing.Any, T]


ReportResult = result.Result[reports.Report, errors.ChangeError | console.Failed]


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Reactor, platform client and retry policy of a command."""

    reactor: typing.Any
    platform: platform_api.PlatformApi
    retry_policy: retry.RetryPolicy

    @defer.inlineCallbacks
    def read_version(
        self, versions: version_store.VersionStore, version: int | None
    ) -> DeferredGenerator[version_store.HeadResult]:
        """Read the head of a version, the current one if `version` is None."""
        head_result = yield versions.read_head()
        if isinstance(head_result, result.Failure):
            return head_result
        head: parts.Head = head_result.unwrap().head
        if version is None or version == head.version:
            return result.Success(head)
        return (yield versions.find_version(head, version))


Action = collections.abc.Callable[[Session], defer.Deferred[ReportResult]]


def add_platform_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments shared by the commands that call the platform."""
    parser.add_argument(
        "--platform",
        metavar="URL",
        type=_parse_platform_url,
        default=DEFAULT_PLATFORM_URL,
        help="address of the platform's object API (default: %(default)s)",
    )
    console.add_format(parser)


def run(arguments: argparse.Namespace, action: Action) -> int:
    """Run an action to completion, print its outcome and return the exit code."""
    from twisted.internet import reactor

    outcomes: list[ReportResult | failure.Failure] = []
    platform = platform_api.HttpPlatformClient(reactor, arguments.platform)
    session = Session(reactor, platform, retry.for_reactor(reactor))

    def run_action() -> None:
        pending = defer.maybeDeferred(action, session)
        pending.addBoth(outcomes.append)
        pending.addBoth(lambda _: platform.close())
        pending.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run_action)
    reactor.run()
    return _print_outcome(outcomes, arguments.format)


def _print_outcome(
    outcomes: list[ReportResult | failure.Failure], output_format: str
) -> int:
    if not outcomes:
        message = "interrupted; see `config history` for what was accepted"
        return reports.show_failure(console.Failed(message), output_format)
    outcome = outcomes[0]
    if isinstance(outcome, failure.Failure):
        outcome.raiseException()
        raise AssertionError("raiseException returned")
    if isinstance(outcome, result.Failure):
        return reports.show_failure(outcome.failure(), output_format)
    return reports.show_report(outcome.unwrap(), output_format)


def _parse_platform_url(text: str) -> str:
    try:
        parsed = urllib.parse.urlsplit(text)
        valid = parsed.scheme == "http" and bool(parsed.hostname) and parsed.port != 0
    except ValueError:
        valid = False
    if not valid:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an address; use one such as {DEFAULT_PLATFORM_URL}"
        )
    return text
