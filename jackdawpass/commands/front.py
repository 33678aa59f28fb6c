"""Command `front`: run an instance on the platform."""

import argparse
import os
import pathlib
import random
import signal
import sys
import typing

from returns import result

from jackdawpass.commands import console
from jackdawpass.platform import adapter, node_file
from jackdawpass.process import logs
from jackdawpass.process.serving import front, settings

_logger = logs.get_logger(__name__)

# The settings file may change without a SIGHUP.
RELOAD_CHECK_SECONDS = 2.0

EXAMPLE = """example:
  jackdawpass front --settings /etc/jackdawpass/node.toml --check

The platform writes the settings file. The environment variable JACKDAWPASS_NODE_FILE
sets its path if --settings is not given.
"""


def add_parser(subparsers: typing.Any) -> None:
    """Add the command to the parser."""
    parser = console.add_command(subparsers, "front", __doc__, EXAMPLE)
    parser.add_argument("--settings", help="settings file of the platform, TOML")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an instance until SIGTERM or SIGINT stops it."""
    path = arguments.settings or os.environ.get(
        node_file.PATH_VARIABLE, node_file.DEFAULT_PATH
    )
    options = _load_settings(path)
    if arguments.check:
        print(options)
        return console.EXIT_DONE
    return _serve(options, path)


def _read_settings(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise console.Failed(
            f"cannot read the settings file {path!r} ({error}); "
            "check its path and permissions"
        ) from None


def _load_settings(path: str) -> settings.FrontSettings:
    parsed = node_file.parse(_read_settings(path))
    if isinstance(parsed, result.Failure):
        raise console.Failed(str(parsed.failure()))
    return parsed.unwrap()


class _Reloader:
    """Reloader of the settings file, used on SIGHUP and periodically."""

    def __init__(self, path: str, instance: front.Front) -> None:
        self._path = path
        self._instance = instance
        self._text = _read_settings(path)

    def reload_if_changed(self) -> None:
        """Apply a changed file; log an error and keep the settings if it is invalid."""
        try:
            text = _read_settings(self._path)
            if text == self._text:
                return
            self._text = text
            self._instance.reload(_load_settings(self._path))
        except console.Failed as error:
            _logger.error("settings_refused", reason=str(error))


def _serve(options: settings.FrontSettings, path: str) -> int:
    from twisted.internet import error, task
    from twisted.internet import reactor as process_reactor

    reactor: typing.Any = process_reactor
    sampler = logs.Sampler(
        1.0, options.log_lines_per_second, options.log_errors_per_second
    )
    logs.configure(options.instance, options.zone, sampler)
    platform_adapter = adapter.PlatformAdapter(reactor, options)
    instance = front.Front(reactor, options, platform_adapter, random.Random())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(instance.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(instance.stop))
    reloader = _Reloader(path, instance)
    signal.signal(
        signal.SIGHUP, lambda *_: reactor.callFromThread(reloader.reload_if_changed)
    )
    task.LoopingCall(reloader.reload_if_changed).start(RELOAD_CHECK_SECONDS, now=False)
    instance.stopped.addCallback(lambda _: reactor.callLater(0.05, reactor.stop))
    try:
        instance.start()
    except error.CannotListenError as failure:
        raise console.Failed(
            f"cannot listen on {failure.interface}:{failure.port} "
            f"({failure.socketError}); free the port or change the settings"
        ) from None
    reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    return console.EXIT_DONE
