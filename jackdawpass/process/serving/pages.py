"""Small pages for the load balancer and for whoever collects metrics."""

import collections.abc

from jackdawpass.connection import ingress
from jackdawpass.version import routes

Page = collections.abc.Callable[[], ingress.OutgoingResponse]


class PageHandler:
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
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Answer at once."""
        on_response(self._page())
        return ingress.FinishedExchange()

    def acknowledges(self, request: ingress.IncomingRequest) -> bool:
        """Return False: the page follows at once."""
        return False

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""
