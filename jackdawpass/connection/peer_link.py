"""Websocket link between two entry instances."""

import collections.abc
import dataclasses
import logging
import typing

import websockets.client
import websockets.frames
import websockets.protocol
import websockets.server
import websockets.uri
from returns import result
from twisted.internet import protocol
from websockets import http11

from jackdawpass import clock
from jackdawpass.connection import frames

HEARTBEAT_TIMEOUT_SECONDS = 4.0
HANDSHAKE_TIMEOUT_SECONDS = 2.0
MAX_BUFFERED_BYTES = 8 * 1024 * 1024

_log = logging.getLogger(__name__)


class LinkOwner(typing.Protocol):
    """Owner of links, which receives their events."""

    def on_open(self, link: "PeerLink") -> None:
        """Handle that frames can now be sent on the link."""

    def on_frame(self, link: "PeerLink", frame: frames.Frame) -> None:
        """Handle a frame."""

    def on_closed(self, link: "PeerLink") -> None:
        """Handle the end of a link; called once, even if it never opened."""


@dataclasses.dataclass(slots=True)
class LinkCounters:
    """Messages and bytes of all links of an instance, without TCP headers."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class PeerLink(protocol.Protocol):
    """One end of a link.

    Parameters
    ----------
    reactor : IReactorTime
        The reactor of the process.
    owner : LinkOwner
        Receives the events.
    counters : LinkCounters
        Counters that this link increments.
    dialled_address : str or None
        Address that this end connected to; None when it accepted the link.
    """

    transport: typing.Any

    def __init__(
        self,
        reactor: typing.Any,
        owner: LinkOwner,
        counters: LinkCounters,
        dialled_address: str | None,
    ) -> None:
        self._reactor = reactor
        self._owner = owner
        self._counters = counters
        self._dialled_address = dialled_address
        self._websocket: typing.Any = _make_websocket(dialled_address)
        self._open = False
        self._ended = False
        self._last_received = clock.monotonic()
        self._timer: typing.Any = None

    @property
    def dialled_address(self) -> str | None:
        """Address that this end connected to."""
        return self._dialled_address

    @property
    def open(self) -> bool:
        """True while frames can be sent."""
        return self._open and not self._ended

    def connectionMade(self) -> None:
        """Begin the websocket handshake."""
        self.transport.setTcpNoDelay(True)
        self._timer = self._reactor.callLater(
            HANDSHAKE_TIMEOUT_SECONDS, self._check_timeout
        )
        if self._dialled_address is not None:
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:
        """Process bytes from the peer."""
        if self._ended:
            return
        self._last_received = clock.monotonic()
        self._counters.bytes_received += len(data)
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            self._on_event(event)
            if self._ended:
                return
        self._flush()
        if self._websocket.close_expected():
            self.close()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:
        """Report the end of the link."""
        self._end()

    def send(self, frame: frames.Frame) -> None:
        """Send a frame; the link is aborted if the peer does not read its data."""
        if not self.open:
            return
        data = frames.encode(frame)
        self._websocket.send_binary(data)
        self._counters.messages_sent += 1
        self._flush()

    def close(self) -> None:
        """Close the link after the buffered data is sent."""
        if self.transport is not None and not self._ended:
            self.transport.loseConnection()
            self._end()

    def abort(self) -> None:
        """Close the link at once."""
        if self.transport is not None and not self._ended:
            self.transport.abortConnection()
            self._end()

    def _check_timeout(self) -> None:
        limit = HEARTBEAT_TIMEOUT_SECONDS if self._open else HANDSHAKE_TIMEOUT_SECONDS
        remaining = self._last_received + limit - clock.monotonic()
        if remaining <= 0 or not self._open:
            self._timer = None
            self.abort()
        else:
            self._timer = self._reactor.callLater(remaining, self._check_timeout)

    def _on_event(self, event: object) -> None:
        if isinstance(event, http11.Request):
            response = self._websocket.accept(event)
            self._websocket.send_response(response)
            self._flush()
            if self._websocket.handshake_exc is None:
                self._on_handshake()
        elif isinstance(event, http11.Response):
            if self._websocket.handshake_exc is None:
                self._on_handshake()
        elif isinstance(event, websockets.frames.Frame):
            self._on_websocket_frame(event)

    def _on_handshake(self) -> None:
        self._open = True
        self._owner.on_open(self)

    def _on_websocket_frame(self, frame: websockets.frames.Frame) -> None:
        opcode = websockets.frames.Opcode
        if frame.opcode in (opcode.PING, opcode.PONG):
            return
        if frame.opcode is not opcode.BINARY or not frame.fin:
            self.abort()
            return
        decoded = frames.decode(bytes(frame.data))
        if isinstance(decoded, result.Failure):
            _log.warning("%s", decoded.failure())
            self.abort()
            return
        self._counters.messages_received += 1
        self._owner.on_frame(self, decoded.unwrap())

    def _flush(self) -> None:
        for data in self._websocket.data_to_send():
            if not data:
                continue
            self._counters.bytes_sent += len(data)
            self.transport.write(data)
        if _unsent_bytes(self.transport) > MAX_BUFFERED_BYTES:
            self.abort()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._owner.on_closed(self)


class PeerFactory(protocol.Factory):
    """Factory of the links to peers."""

    noisy = False

    def __init__(self, make: collections.abc.Callable[[str | None], PeerLink]) -> None:
        self._make = make

    def buildProtocol(self, addr: typing.Any) -> PeerLink:
        """Return this instance's end of a new link."""
        return self._make(None)


def _make_websocket(dialled_address: str | None) -> typing.Any:
    if dialled_address is None:
        return websockets.server.ServerProtocol(max_size=frames.MAX_FRAME_BYTES)
    uri = websockets.uri.parse_uri(f"ws://{dialled_address}/")
    return websockets.client.ClientProtocol(uri, max_size=frames.MAX_FRAME_BYTES)


def _unsent_bytes(transport: typing.Any) -> int:
    buffered = sum(len(data) for data in getattr(transport, "_tempDataBuffer", ()))
    return buffered + len(getattr(transport, "dataBuffer", b""))
