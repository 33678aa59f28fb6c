"""Command `config`: check, compare, commit and inspect the configuration."""

import argparse
import functools
import typing

from returns import result

from jackdawpass.commands import (
    config_read,
    config_wait,
    config_write,
    console,
    files,
    reports,
    session,
)
from jackdawpass.version import parts

DEFAULT_HISTORY_LIMIT = 20
DEFAULT_WAIT_SECONDS = 30.0

Parsers = typing.Any


def add_parser(subparsers: Parsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("config", help=__doc__)
    commands = parser.add_subparsers(dest="config_command", required=True)
    _add_check(commands)
    _add_diff(commands)
    _add_apply(commands)
    _add_show(commands)
    _add_history(commands)
    _add_wait(commands)
    _add_rollback(commands)


def add_command(parsers: Parsers, name: str, summary: str, example: str) -> typing.Any:
    """Add a subcommand whose help ends with an example."""
    return console.add_command(
        parsers, name, summary, f"example:\n  jackdawpass {example}"
    )


def parse_positive_int(text: str) -> int:
    """Parse a positive integer, such as a version or a count."""
    try:
        value = int(text)
    except ValueError:
        value = 0
    if value < 1:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a positive integer; use 1 or more"
        )
    return value


def add_based_on(parser: argparse.ArgumentParser) -> None:
    """Add the option for the version that a file was edited from."""
    parser.add_argument(
        "--based-on",
        metavar="VERSION",
        type=parse_positive_int,
        help="version that the file was edited from (default: the current one)",
    )


def _add_check(commands: Parsers) -> None:
    summary = "Check a base file, alone and with each overlay, offline"
    example = "config check examples/base.jsonc examples/overlay.jsonc"
    parser = add_command(commands, "check", summary, example)
    parser.add_argument("base", metavar="BASE", help="base file")
    parser.add_argument(
        "overlays", metavar="OVERLAY", nargs="*", help="overlay of a site"
    )
    console.add_format(parser)
    parser.set_defaults(run=config_read.check)


def _add_diff(commands: Parsers) -> None:
    summary = "Show what a file would change, or what changed between two versions"
    parser = add_command(commands, "diff", summary, "config diff base base.jsonc")
    kinds = parser.add_subparsers(dest="diff_kind", required=True)
    base = add_command(kinds, "base", summary, "config diff base base.jsonc")
    base.add_argument("file", metavar="FILE")
    base.set_defaults(run=_diff_base)
    example = "config diff overlay north north.jsonc"
    overlay = add_command(kinds, "overlay", summary, example)
    overlay.add_argument("site", metavar="SITE")
    overlay.add_argument("file", metavar="FILE")
    overlay.set_defaults(run=_diff_overlay)
    versions = add_command(kinds, "versions", summary, "config diff versions 4 7")
    versions.add_argument("old", metavar="OLD", type=parse_positive_int)
    versions.add_argument("new", metavar="NEW", type=parse_positive_int)
    versions.set_defaults(run=_diff_versions)
    for each in (base, overlay, versions):
        session.add_platform_arguments(each)


def _add_apply(commands: Parsers) -> None:
    summary = "Commit a base file or the overlay of a site as a new version"
    example = "config apply base base.jsonc --based-on 7"
    parser = add_command(commands, "apply", summary, example)
    kinds = parser.add_subparsers(dest="apply_kind", required=True)
    base = add_command(kinds, "base", summary, example)
    base.add_argument("file", metavar="FILE")
    base.set_defaults(run=_apply_base)
    example = "config apply overlay north north.jsonc"
    overlay = add_command(kinds, "overlay", summary, example)
    overlay.add_argument("site", metavar="SITE")
    overlay.add_argument("file", metavar="FILE")
    overlay.set_defaults(run=_apply_overlay)
    for each in (base, overlay):
        add_based_on(each)
        session.add_platform_arguments(each)


def _add_show(commands: Parsers) -> None:
    summary = "Show the base, or the overlay or effective configuration of a site"
    example = "config show --effective north"
    parser = add_command(commands, "show", summary, example)
    selection = parser.add_mutually_exclusive_group()
    selection.add_argument("--effective", metavar="SITE", help="base with the overlay")
    selection.add_argument("--overlay", metavar="SITE", help="the overlay alone")
    parser.add_argument(
        "--version", metavar="VERSION", type=parse_positive_int, help="default: current"
    )
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_show)


def _add_history(commands: Parsers) -> None:
    summary = "Show the accepted versions and the parts that each changed"
    parser = add_command(commands, "history", summary, "config history --limit 5")
    parser.add_argument(
        "--limit",
        type=parse_positive_int,
        default=DEFAULT_HISTORY_LIMIT,
        help="number of versions (default: %(default)s)",
    )
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_history)


def _add_wait(commands: Parsers) -> None:
    summary = "Wait until a version is in force on instances"
    example = "config wait 7 --instances 127.0.0.1:8400,127.0.0.1:8401"
    parser = add_command(commands, "wait", summary, example)
    parser.add_argument("version", metavar="VERSION", type=parse_positive_int)
    parser.add_argument(
        "--instances",
        metavar="HOST:PORT,...",
        type=_parse_addresses,
        required=True,
        help="addresses of entry instances",
    )
    parser.add_argument(
        "--timeout",
        metavar="SECONDS",
        type=_parse_seconds,
        default=DEFAULT_WAIT_SECONDS,
        help="longest time to wait (default: %(default)s)",
    )
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_wait)


def _add_rollback(commands: Parsers) -> None:
    summary = "Commit the content of an older version as a new version"
    parser = add_command(commands, "rollback", summary, "config rollback 6")
    parser.add_argument("version", metavar="VERSION", type=parse_positive_int)
    session.add_platform_arguments(parser)
    parser.set_defaults(run=_rollback)


def _diff_base(arguments: argparse.Namespace) -> int:
    action = functools.partial(config_read.diff_file, None, arguments.file)
    return session.run(arguments, action)


def _diff_overlay(arguments: argparse.Namespace) -> int:
    part = parts.OVERLAY_PREFIX + arguments.site
    action = functools.partial(config_read.diff_file, part, arguments.file)
    return session.run(arguments, action)


def _diff_versions(arguments: argparse.Namespace) -> int:
    action = functools.partial(config_read.diff_versions, arguments.old, arguments.new)
    return session.run(arguments, action)


def _apply_base(arguments: argparse.Namespace) -> int:
    action = functools.partial(
        config_write.apply_file,
        arguments.file,
        files.base_changes,
        arguments.based_on,
    )
    return session.run(arguments, action)


def _apply_overlay(arguments: argparse.Namespace) -> int:
    checked = files.check_name("site", arguments.site)
    if isinstance(checked, result.Failure):
        return reports.show_failure(checked.failure(), arguments.format)
    return apply_part(arguments, parts.OVERLAY_PREFIX + arguments.site)


def apply_part(arguments: argparse.Namespace, part: str) -> int:
    """Commit a file as the content of one configuration part."""
    action = functools.partial(
        config_write.apply_file,
        arguments.file,
        lambda document, _: files.document_changes(part, document),
        arguments.based_on,
    )
    return session.run(arguments, action)


def _show(arguments: argparse.Namespace) -> int:
    return session.run(arguments, functools.partial(config_read.show, arguments))


def _history(arguments: argparse.Namespace) -> int:
    action = functools.partial(config_read.history, arguments.limit)
    return session.run(arguments, action)


def _wait(arguments: argparse.Namespace) -> int:
    action = functools.partial(
        config_wait.wait, arguments.version, arguments.instances, arguments.timeout
    )
    return session.run(arguments, action)


def _rollback(arguments: argparse.Namespace) -> int:
    action = functools.partial(config_write.rollback, arguments.version)
    return session.run(arguments, action)


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(str(console.parse_address(each)) for each in text.split(","))


def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 86_400:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a time in seconds; use a number from 0 to 86400"
        )
    return value
