"""Minimal HTTP/1.1 server for the stand-ins."""

import collections.abc
import dataclasses
import typing
import urllib.parse

import httptools
import msgspec
from twisted.internet import interfaces, protocol
from twisted.python import failure

_REASONS = {200: "OK", 201: "Created", 304: "Not Modified", 404: "Not Found"}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete HTTP request, with header names in lower case."""

    method: str
    path: str
    query: collections.abc.Mapping[str, str]
    headers: collections.abc.Mapping[str, str]
    body: bytes

    def document(self) -> typing.Any:
        """Return the decoded JSON body, or an empty object if there is no body."""
        return msgspec.json.decode(self.body) if self.body else {}


class Handler(typing.Protocol):
    """Interface of a stand-in that answers requests."""

    def handle(self, connection: "ServerConnection", request: Request) -> None:
        """Answer a request through `connection`, at once or later."""

    def on_open(self, connection: "ServerConnection") -> None:
        """Handle a new connection."""

    def on_closed(self, connection: "ServerConnection") -> None:
        """Handle the end of a connection."""


class ServerConnection(protocol.Protocol):
    """Server side of a connection to a stand-in."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._open = False
        self._reset_parser()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._open

    def connectionMade(self) -> None:
        """Report the new connection to the handler (called by Twisted)."""
        self._open = True
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]
        self._handler.on_open(self)

    def connectionLost(self, reason: failure.Failure | None = None) -> None:
        """Report the closed connection to the handler (called by Twisted)."""
        self._open = False
        self._handler.on_closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass data to the parser; reset the connection if the data is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Append to the URL (called by the parser)."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header (called by the parser)."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append to the body (called by the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the request to the handler (called by the parser)."""
        parsed = urllib.parse.urlsplit(self._url.decode("latin-1"))
        request = Request(
            self._parser.get_method().decode("ascii"),
            urllib.parse.unquote(parsed.path),
            dict(urllib.parse.parse_qsl(parsed.query)),
            self._headers,
            self._body,
        )
        self._reset_parser()
        self._handler.handle(self, request)

    def reply(self, status: int, document: object) -> None:
        """Send a JSON reply if the connection is open."""
        body = b"" if status == 304 else msgspec.json.encode(document)
        head = (
            f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.write(head.encode("ascii") + body)

    def write(self, data: bytes) -> None:
        """Send raw bytes if the connection is open."""
        if self._open and self.transport is not None:
            self.transport.write(data)

    def reset(self) -> None:
        """Reset the connection if it is open."""
        if self._open and self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""


class ServerFactory(protocol.Factory):
    """Factory of the connections of a stand-in."""

    noisy = False

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def buildProtocol(self, addr: interfaces.IAddress | None) -> ServerConnection:
        """Return the protocol for a new connection."""
        return ServerConnection(self._handler)
