"""Pages for the load balancer's readiness probe and for metrics collectors."""

import collections.abc

from jackdawpass.connection import ingress
from jackdawpass.version import routes

Page = collections.abc.Callable[[], ingress.OutgoingResponse]


class PageHandler:
    """Handler that responds to every request with the same page.

    Parameters
    ----------
    page : callable
        Returns the current page.
    """

    def __init__(self, page: Page) -> None:
        self._page = page

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits for clients of the page."""
        return routes.CallerLimits()

    @property
    def closing(self) -> bool:
        """False, since clients may keep their connections."""
        return False

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Respond immediately with the page."""
        on_response(self._page())
        return ingress.FinishedExchange()

    def interim_headers(self, request: ingress.IncomingRequest) -> None:
        """Return None: the response is immediate."""

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""
