"""Host of several target stand-ins in one process with a shared control port."""

import collections.abc
import typing

from jackdawpass.standins import behaviour, http_server, target


class TargetHost:
    """Target stand-ins by name; ``POST /{name}/{action}`` controls one of them.

    The name ``*`` selects all targets of the process. The control port stays open
    while a target is stopped.
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
        """Ports of the targets by name."""
        return {name: each.port for name, each in self._targets.items()}

    def listen(self, port: int = 0) -> typing.Any:
        """Start all targets and return the listening control port."""
        for each in self._targets.values():
            each.listen()
        factory = http_server.ServerFactory(self)
        return self._reactor.listenTCP(port, factory, interface="127.0.0.1")

    def handle(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        """Perform a control action on one target or on all."""
        name, _, action = request.path.removeprefix("/").partition("/")
        names = list(self._targets) if name == "*" else [name]
        if not set(names) <= self._targets.keys():
            connection.reply(404, {"error": f"no target {name!r}"})
            return
        document = request.document()
        outcomes = {
            each: self._targets[each].perform_action(action, document) for each in names
        }
        status = max(status for status, _ in outcomes.values())
        connection.reply(status, {each: reply for each, (_, reply) in outcomes.items()})

    def on_open(self, connection: http_server.ServerConnection) -> None:
        """Do nothing, as control connections are not limited."""

    def on_closed(self, connection: http_server.ServerConnection) -> None:
        """Do nothing, as no running request belongs to a control connection."""
