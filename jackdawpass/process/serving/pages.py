"""Small pages for the load balancer and for whoever collects metrics."""

import collections.abc
import typing

from jackdawpass.connection import ingress
from jackdawpass.process.serving import settings
from jackdawpass.version import routes

# The balancer and the collector ask one at a time.
BACKLOG = 16


class _Ended:
    """An answered question."""

    def caller_gone(self) -> None:
        """Do nothing."""


Page = collections.abc.Callable[[], ingress.OutgoingAnswer]


class Pages:
    """Answers every request with the same page.

    Parameters
    ----------
    page : callable
        Returns the page as it is now.
    """

    def __init__(self, page: Page) -> None:
        self._page = page

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits for whoever asks."""
        return routes.CallerLimits()

    @property
    def closing(self) -> bool:
        """Return False: whoever asks may keep the connection."""
        return False

    def handle(
        self, request: ingress.IncomingRequest, on_answer: ingress.OnAnswer
    ) -> ingress.Exchange:
        """Answer at once."""
        on_answer(self._page())
        return _Ended()

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""


def listen(reactor: typing.Any, address: settings.Address, page: Page) -> None:
    """Serve a page at an address."""
    factory = ingress.CallerFactory(reactor, Pages(page))
    reactor.listenTCP(address.port, factory, BACKLOG, address.host)
