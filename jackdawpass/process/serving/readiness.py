"""The load balancer's question whether this instance takes new callers."""

import collections.abc
import typing

from jackdawpass.connection import ingress
from jackdawpass.process.serving import settings
from jackdawpass.version import routes


class _Ended:
    """An answered question."""

    def caller_gone(self) -> None:
        """Do nothing."""


class Readiness:
    """Answers 200 while the instance is ready, else 503."""

    def __init__(self, is_ready: collections.abc.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits for whoever asks."""
        return routes.CallerLimits()

    @property
    def closing(self) -> bool:
        """Return False: the balancer may keep its connection."""
        return False

    def handle(
        self, request: ingress.IncomingRequest, on_answer: ingress.OnAnswer
    ) -> ingress.Exchange:
        """Answer at once."""
        status = 200 if self._is_ready() else 503
        on_answer(ingress.OutgoingAnswer(status, (), b""))
        return _Ended()

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""


def listen(
    reactor: typing.Any,
    address: settings.Address,
    is_ready: collections.abc.Callable[[], bool],
) -> None:
    """Answer the load balancer at an address."""
    factory = ingress.CallerFactory(reactor, Readiness(is_ready))
    reactor.listenTCP(address.port, factory, 16, address.host)
