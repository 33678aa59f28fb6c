"""Peer links of an instance: listening, dialling, and one link per peer."""

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
UNWANTED_LINK_GRACE_SECONDS = 10.0
MAX_DIAL_STATES = 4096

OnProbed = collections.abc.Callable[[bool], None]


class PeerHandler(typing.Protocol):
    """Handler of events of the links to peers."""

    def hello(self) -> frames.Hello:
        """Return the first frame of this instance."""

    def on_peer_up(self, hello: frames.Hello) -> None:
        """Handle a new link to a peer; also called when it replaces another link."""

    def on_peer_down(self, name: str, planned: bool) -> None:
        """Handle the end of the last link to a peer."""

    def on_peer_frame(self, name: str, frame: frames.Frame) -> None:
        """Handle a frame of a peer."""

    def on_dial_failed(self, address: str) -> None:
        """Handle a failed connection attempt to an address."""


@dataclasses.dataclass(slots=True)
class _Peer:
    hello: frames.Hello
    link: peer_link.PeerLink
    since: float
    planned: bool = False


@dataclasses.dataclass(slots=True)
class _DialState:
    backoff: schedule.Backoff
    dialling: bool = False
    probes: list[OnProbed] = dataclasses.field(default_factory=list)


class PeerLinks:
    """Links of an instance to its peers, at most one per peer.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    handler : PeerHandler
        Receives the events of the links.
    host : str
        Address on which to listen and from which to dial.
    rng : Random
        Random source for jitter.
    """

    def __init__(
        self, reactor: typing.Any, handler: PeerHandler, host: str, rng: random.Random
    ) -> None:
        self._reactor = reactor
        self._handler = handler
        self._host = host
        self._rng = rng
        self._counters = peer_link.LinkCounters()
        self._peers: dict[str, _Peer] = {}
        self._names: dict[peer_link.PeerLink, str] = {}
        self._open_links: set[peer_link.PeerLink] = set()
        self._dial_states: dict[str, _DialState] = {}
        self._own_addresses: set[str] = set()
        self._listening: typing.Any = None
        self._stopped = False

    @property
    def counters(self) -> peer_link.LinkCounters:
        """Numbers of messages and bytes since the start of the process."""
        return self._counters

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the peers with an open link."""
        return tuple(self._peers)

    @property
    def port(self) -> int:
        """Port on which peer connections are accepted."""
        return int(self._listening.getHost().port)

    def listen(self, port: int) -> None:
        """Listen for connections of peers."""
        factory = peer_link.PeerFactory(self._make_link)
        self._listening = self._reactor.listenTCP(port, factory, interface=self._host)

    @defer.inlineCallbacks
    def stop(self) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        """Send a `Bye` frame on all links, close them and stop listening."""
        self._stopped = True
        for link in list(self._open_links):
            link.send(frames.Bye(leaving=True))
            link.close()
        if self._listening is not None:
            yield self._listening.stopListening()

    def send(self, name: str, frame: frames.Frame) -> None:
        """Send a frame to a peer; does nothing if there is no link to it."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.send(frame)

    def close(self, name: str) -> None:
        """Abort the link to a peer that violated the protocol."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.abort()

    def maintain(
        self,
        now: float,
        wanted: collections.abc.Mapping[str, str],
        seeds: collections.abc.Iterable[str],
    ) -> None:
        """Dial wanted peers and seeds, and close dialled links to other peers.

        Parameters
        ----------
        wanted : mapping of str to str
            Address of each wanted peer, by name.
        seeds : iterable of str
            Addresses to dial if no peer with that address is linked.
        """
        for name, address in wanted.items():
            if name not in self._peers:
                self._dial(now, address)
        linked = {peer.hello.address for peer in self._peers.values()}
        for address in seeds:
            if address not in linked:
                self._dial(now, address)
        for name, peer in list(self._peers.items()):
            grace_elapsed = now >= peer.since + UNWANTED_LINK_GRACE_SECONDS
            if (
                name not in wanted
                and peer.link.dialled_address is not None
                and grace_elapsed
            ):
                peer.planned = True
                peer.link.send(frames.Bye(leaving=False))
                peer.link.close()

    def probe(self, now: float, name: str, address: str, on_probed: OnProbed) -> None:
        """Call back with whether a peer completes the handshake."""
        if name in self._peers:
            on_probed(True)
            return
        state = self._dial_state(address)
        state.probes.append(on_probed)
        if not state.dialling:
            self._connect(address, state)

    def _dial_state(self, address: str) -> _DialState:
        if len(self._dial_states) >= MAX_DIAL_STATES:
            self._prune_dial_states()
        if address not in self._dial_states:
            self._dial_states[address] = _DialState(schedule.Backoff(self._rng))
        return self._dial_states[address]

    def _prune_dial_states(self) -> None:
        self._dial_states = {
            address: state
            for address, state in self._dial_states.items()
            if state.dialling or state.probes
        }

    def _dial(self, now: float, address: str) -> None:
        if address in self._own_addresses or self._stopped:
            return
        state = self._dial_state(address)
        if not state.dialling and state.backoff.ready(now):
            self._connect(address, state)

    def _connect(self, address: str, state: _DialState) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isascii() or not port.isdigit():
            self._on_dial_result(address, False)
            return
        state.dialling = True
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            timeout=DIAL_TIMEOUT_SECONDS,
            bindAddress=(self._host, 0),
        )
        factory = peer_link.PeerFactory(lambda _: self._make_link(address))
        deferred = endpoint.connect(factory)
        deferred.addErrback(lambda _: self._on_dial_result(address, False))

    def _on_dial_result(self, address: str, reached: bool) -> None:
        state = self._dial_state(address)
        state.dialling = False
        if reached:
            state.backoff.on_success()
        else:
            state.backoff.on_failure(clock.monotonic(), DIAL_BACKOFF_MAX_SECONDS)
        probes, state.probes = state.probes, []
        for on_probed in probes:
            on_probed(reached)
        if not reached and not self._stopped:
            self._handler.on_dial_failed(address)

    def _make_link(self, dialled_address: str | None) -> peer_link.PeerLink:
        link = peer_link.PeerLink(self._reactor, self, self._counters, dialled_address)
        self._open_links.add(link)
        return link

    def on_open(self, link: peer_link.PeerLink) -> None:
        """Send the `Hello` frame of this instance."""
        link.send(self._handler.hello())

    def on_frame(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        """Handle a frame; the first one must be the `Hello` of the peer."""
        if self._stopped:
            return
        name = self._names.get(link)
        if name is None:
            self._on_first_frame(link, frame)
        elif isinstance(frame, frames.Hello):
            link.abort()
        elif self._peers[name].link is link:
            if isinstance(frame, frames.Bye):
                self._peers[name].planned = True
            self._handler.on_peer_frame(name, frame)

    def on_closed(self, link: peer_link.PeerLink) -> None:
        """Remove a closed link."""
        self._open_links.discard(link)
        name = self._names.pop(link, None)
        if name is None and link.dialled_address is not None:
            self._on_dial_result(link.dialled_address, False)
        if name is None or name not in self._peers:
            return
        if self._peers[name].link is link:
            peer = self._peers.pop(name)
            if not self._stopped:
                self._handler.on_peer_down(name, peer.planned)

    def _on_first_frame(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            link.abort()
            return
        own = self._handler.hello()
        if frame.incarnation == own.incarnation:
            if link.dialled_address is not None:
                self._own_addresses.add(link.dialled_address)
            link.abort()
            return
        self._names[link] = frame.instance
        if link.dialled_address is not None:
            self._on_dial_result(link.dialled_address, True)
        current = self._peers.get(frame.instance)
        if current is not None and self._keeps_current_link(own, current, link, frame):
            link.close()
            return
        self._peers[frame.instance] = _Peer(frame, link, clock.monotonic())
        if current is not None:
            current.link.close()
        self._handler.on_peer_up(frame)

    def _keeps_current_link(
        self,
        own: frames.Hello,
        current: _Peer,
        link: peer_link.PeerLink,
        hello: frames.Hello,
    ) -> bool:
        # If both instances dial each other at the same time, both keep the link that
        # the instance with the smaller name dialled. Otherwise each could close the
        # link that the other one keeps.
        if current.hello.incarnation != hello.incarnation:
            return False
        if (current.link.dialled_address is None) == (link.dialled_address is None):
            return False
        own_dials = own.instance < hello.instance
        return (current.link.dialled_address is not None) == own_dials
