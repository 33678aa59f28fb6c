"""The links of an instance: listening, dialling, and one link per peer."""

import collections.abc
import dataclasses
import random
import typing

from twisted.internet import defer, endpoints

from jackdawpass import clock
from jackdawpass.connection import frames, peer_link
from jackdawpass.process import schedule

DIAL_TIMEOUT_SECONDS = 1.0
DIAL_BACKOFF_MAX_SECONDS = 2.0
UNWANTED_KEPT_SECONDS = 10.0
MAX_ADDRESSES = 4096

OnProbed = collections.abc.Callable[[bool], None]


class LinksOwner(typing.Protocol):
    """Receives the events of peers."""

    def hello(self) -> frames.Hello:
        """Return the first frame of this instance."""

    def on_peer_up(self, hello: frames.Hello) -> None:
        """Note a link to a peer; also called when a link replaces another."""

    def on_peer_down(self, name: str, planned: bool) -> None:
        """Note that no link to a peer remains."""

    def on_peer_frame(self, name: str, frame: frames.Frame) -> None:
        """Handle a frame of a peer."""

    def on_dial_failed(self, address: str) -> None:
        """Note that an address could not be reached."""


@dataclasses.dataclass(slots=True)
class _Peer:
    hello: frames.Hello
    link: peer_link.PeerLink
    since: float
    planned: bool = False


@dataclasses.dataclass(slots=True)
class _Address:
    backoff: schedule.Backoff
    dialling: bool = False
    probes: list[OnProbed] = dataclasses.field(default_factory=list)


class Links:
    """Keeps one link per peer.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    owner : LinksOwner
        Receives the events.
    host : str
        Address on which to listen and from which to dial.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self, reactor: typing.Any, owner: LinksOwner, host: str, rng: random.Random
    ) -> None:
        self._reactor = reactor
        self._owner = owner
        self._host = host
        self._rng = rng
        self._counters = peer_link.LinkCounters()
        self._peers: dict[str, _Peer] = {}
        self._names: dict[peer_link.PeerLink, str] = {}
        self._all: set[peer_link.PeerLink] = set()
        self._addresses: dict[str, _Address] = {}
        self._own_addresses: set[str] = set()
        self._listening: typing.Any = None
        self._stopped = False

    @property
    def counters(self) -> peer_link.LinkCounters:
        """Messages and bytes since the start."""
        return self._counters

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the linked peers."""
        return tuple(self._peers)

    @property
    def port(self) -> int:
        """Port on which peers connect."""
        return int(self._listening.getHost().port)

    def listen(self, port: int) -> None:
        """Listen for peers."""
        factory = peer_link.PeerFactory(self._make)
        self._listening = self._reactor.listenTCP(port, factory, interface=self._host)

    @defer.inlineCallbacks
    def stop(self) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        """Say goodbye on all links and close them."""
        self._stopped = True
        for link in list(self._all):
            link.send(frames.Bye(leaving=True))
            link.close()
        if self._listening is not None:
            yield self._listening.stopListening()

    def send(self, name: str, frame: frames.Frame) -> None:
        """Send a frame to a peer, if it is linked."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.send(frame)

    def close(self, name: str) -> None:
        """Close the link of a peer that breaks the protocol."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.abort()

    def maintain(
        self,
        now: float,
        wanted: collections.abc.Mapping[str, str],
        seeds: collections.abc.Iterable[str],
    ) -> None:
        """Dial wanted peers, given as address by name, and seeds; drop others."""
        for name, address in wanted.items():
            if name not in self._peers:
                self._dial(now, address)
        linked = {peer.hello.address for peer in self._peers.values()}
        for address in seeds:
            if address not in linked:
                self._dial(now, address)
        for name, peer in list(self._peers.items()):
            old = now >= peer.since + UNWANTED_KEPT_SECONDS
            if name not in wanted and peer.link.dialled is not None and old:
                peer.planned = True
                peer.link.send(frames.Bye(leaving=False))
                peer.link.close()

    def probe(self, now: float, name: str, address: str, on_probed: OnProbed) -> None:
        """Report whether a peer completes a handshake."""
        if name in self._peers:
            on_probed(True)
            return
        state = self._address(address)
        state.probes.append(on_probed)
        if not state.dialling:
            self._connect(address, state)

    def _address(self, address: str) -> _Address:
        if len(self._addresses) >= MAX_ADDRESSES:
            self._forget_addresses()
        if address not in self._addresses:
            self._addresses[address] = _Address(schedule.Backoff(self._rng))
        return self._addresses[address]

    def _forget_addresses(self) -> None:
        self._addresses = {
            address: state
            for address, state in self._addresses.items()
            if state.dialling or state.probes
        }

    def _dial(self, now: float, address: str) -> None:
        if address in self._own_addresses or self._stopped:
            return
        state = self._address(address)
        if not state.dialling and state.backoff.ready(now):
            self._connect(address, state)

    def _connect(self, address: str, state: _Address) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isascii() or not port.isdigit():
            self._dialled(address, False)
            return
        state.dialling = True
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            timeout=DIAL_TIMEOUT_SECONDS,
            bindAddress=(self._host, 0),
        )
        factory = peer_link.PeerFactory(lambda _: self._make(address))
        connecting = endpoint.connect(factory)
        connecting.addErrback(lambda _: self._dialled(address, False))

    def _dialled(self, address: str, reached: bool) -> None:
        state = self._address(address)
        state.dialling = False
        if reached:
            state.backoff.on_success()
        else:
            state.backoff.on_failure(clock.monotonic(), DIAL_BACKOFF_MAX_SECONDS)
        probes, state.probes = state.probes, []
        for on_probed in probes:
            on_probed(reached)
        if not reached and not self._stopped:
            self._owner.on_dial_failed(address)

    def _make(self, dialled: str | None) -> peer_link.PeerLink:
        link = peer_link.PeerLink(self._reactor, self, self._counters, dialled)
        self._all.add(link)
        return link

    def on_open(self, link: peer_link.PeerLink) -> None:
        """Introduce this instance."""
        link.send(self._owner.hello())

    def on_frame(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        """Handle a frame; the first one introduces the peer."""
        if self._stopped:
            return
        name = self._names.get(link)
        if name is None:
            self._on_first(link, frame)
        elif isinstance(frame, frames.Hello):
            link.abort()
        elif self._peers[name].link is link:
            if isinstance(frame, frames.Bye):
                self._peers[name].planned = True
            self._owner.on_peer_frame(name, frame)

    def on_closed(self, link: peer_link.PeerLink) -> None:
        """Forget a link."""
        self._all.discard(link)
        name = self._names.pop(link, None)
        if name is None and link.dialled is not None:
            self._dialled(link.dialled, False)
        if name is None or name not in self._peers:
            return
        if self._peers[name].link is link:
            peer = self._peers.pop(name)
            if not self._stopped:
                self._owner.on_peer_down(name, peer.planned)

    def _on_first(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            link.abort()
            return
        own = self._owner.hello()
        if frame.incarnation == own.incarnation:
            if link.dialled is not None:
                self._own_addresses.add(link.dialled)
            link.abort()
            return
        self._names[link] = frame.instance
        if link.dialled is not None:
            self._dialled(link.dialled, True)
        present = self._peers.get(frame.instance)
        if present is not None and self._keeps(own, present, link, frame):
            link.close()
            return
        self._peers[frame.instance] = _Peer(frame, link, clock.monotonic())
        if present is not None:
            present.link.close()
        self._owner.on_peer_up(frame)

    def _keeps(
        self,
        own: frames.Hello,
        present: _Peer,
        link: peer_link.PeerLink,
        hello: frames.Hello,
    ) -> bool:
        # Both ends keep the link that the smaller name dialled, so that two links
        # opened at the same time do not close each other.
        if present.hello.incarnation != hello.incarnation:
            return False
        if (present.link.dialled is None) == (link.dialled is None):
            return False
        own_dials = own.instance < hello.instance
        return (present.link.dialled is not None) == own_dials
