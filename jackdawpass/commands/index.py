"""Command `index`: publish and show the index snapshot of a service."""

import argparse
import functools
import json
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass.commands import config, console, files, reports, session
from jackdawpass.process import version_store
from jackdawpass.version import parts


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("index", help=__doc__)
    commands = parser.add_subparsers(dest="index_command", required=True)
    _add_publish(commands)
    _add_show(commands)


def _add_publish(commands: typing.Any) -> None:
    summary = "Commit an index document as the published snapshot of a service"
    example = "index publish lots lots-index.jsonc"
    parser = config.add_command(commands, "publish", summary, example)
    parser.add_argument("service", metavar="SERVICE")
    parser.add_argument("file", metavar="FILE")
    config.add_based_on(parser)
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_publish)


def _add_show(commands: typing.Any) -> None:
    summary = "Show the published snapshot of a service"
    parser = config.add_command(commands, "show", summary, "index show lots")
    parser.add_argument("service", metavar="SERVICE")
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_show)


def _publish(arguments: argparse.Namespace) -> int:
    checked = files.check_name("service", arguments.service)
    if isinstance(checked, result.Failure):
        return reports.show_failure(checked.failure(), arguments.format)
    return config.apply_part(arguments, parts.INDEX_PREFIX + arguments.service)


def _show(arguments: argparse.Namespace) -> int:
    action = functools.partial(_read_index, arguments.service)
    return session.run(arguments, action)


@defer.inlineCallbacks
def _read_index(
    service: str, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    versions = version_store.VersionStore(platform_session.platform)
    head_result = yield platform_session.read_version(versions, None)
    if isinstance(head_result, result.Failure):
        return head_result
    head = head_result.unwrap()
    name = parts.INDEX_PREFIX + service
    if name not in head.parts:
        message = f"service {service!r} has no published index; use `index publish`"
        return result.Failure(console.Failed(message))
    contents_result = yield versions.read_contents({name: head.parts[name]})
    return contents_result.map(lambda contents: _report(head.version, contents[name]))


def _report(version: int, content: bytes) -> reports.Report:
    document = msgspec.json.decode(content)
    text = json.dumps(document, indent=reports.JSON_INDENT)
    return reports.Report(
        {"version": version, "index": document}, f"// version {version}\n{text}"
    )
