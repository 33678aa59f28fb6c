"""Hosts many target stand-ins in one process, with one port to control them."""

import collections.abc
import typing

from jackdawpass.standins import behaviour, target, wire


class TargetHost:
    """Target stand-ins by name; ``POST /{name}/{action}`` controls one.

    The name ``*`` stands for all targets of the process. The control port stays open
    while a target does not listen.
    """

    def __init__(
        self,
        reactor: typing.Any,
        options: collections.abc.Iterable[behaviour.TargetOptions],
    ) -> None:
        self._reactor = reactor
        self._targets = {
            each.name: target.TargetStandIn(reactor, each) for each in options
        }

    @property
    def ports(self) -> dict[str, int]:
        """Port of each target."""
        return {name: each.port for name, each in self._targets.items()}

    def listen(self, port: int = 0) -> typing.Any:
        """Let all targets listen; return the listening control port."""
        for each in self._targets.values():
            each.listen()
        factory = wire.ServerFactory(self)
        return self._reactor.listenTCP(port, factory, interface="127.0.0.1")

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Perform a control action on one target or on all."""
        name, _, action = request.path.removeprefix("/").partition("/")
        names = list(self._targets) if name == "*" else [name]
        if not set(names) <= self._targets.keys():
            connection.reply(404, {"error": f"no target {name!r}"})
            return
        document = request.document()
        outcomes = {
            each: self._targets[each].control(action, document) for each in names
        }
        status = max(status for status, _ in outcomes.values())
        connection.reply(status, {each: reply for each, (_, reply) in outcomes.items()})

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Do nothing: control connections are not counted."""

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Do nothing: control connections own no work."""
