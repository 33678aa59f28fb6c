"""Control plane of an instance, which updates its configuration and member view."""

import collections.abc
import dataclasses
import logging
import random
import typing
import uuid

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import clock
from jackdawpass.connection import frames, peer_link, platform_api
from jackdawpass.process import (
    distribution,
    links,
    membership,
    platform_poller,
    settings,
)
from jackdawpass.version import catalog, parts

TICK_SECONDS = 0.5
PING_SECONDS = 1.0
# Readers list every second; the pings of peers tell other instances the list's age.
LIST_RECENT_SECONDS = 15.0
REPORT_SECONDS = 0.5
MIN_LINKS = 2
FIRST_LINKS_SECONDS = 2.0

OnCatalog = collections.abc.Callable[[catalog.Catalog], None]
OnMembers = collections.abc.Callable[[membership.MembersView], None]

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ControlStatus:
    """State and counters of the control plane of one instance.

    Attributes
    ----------
    version : int
        Accepted version, which is also offered to peers.
    in_force : int
        Version of the catalog in use; lower than `version` if a later version has no
        valid configuration for this site.
    in_force_age : float or None
        Seconds since the catalog was applied.
    news_age : float or None
        Seconds since the platform confirmed the version, directly or through peers.
    """

    version: int
    in_force: int
    in_force_age: float | None
    has_configuration: bool
    is_reader: bool
    news_age: float | None
    view: membership.MembersView
    links: tuple[str, ...]
    calls: platform_poller.CallCounters
    traffic: peer_link.LinkCounters


class ControlPlane:
    """Control plane of one instance: its configuration, links and member view.

    The control plane performs the I/O that `Distribution` and `Membership` request.

    Parameters
    ----------
    reactor : reactor
        The process's reactor.
    platform : PlatformApi
        The platform's object API.
    options : EntrySettings
        Settings of the instance.
    on_catalog : callable
        Called with each newer catalog.
    on_members : callable
        Called with each changed view of the members.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform: platform_api.PlatformApi,
        options: settings.EntrySettings,
        on_catalog: OnCatalog,
        on_members: OnMembers,
    ) -> None:
        self._reactor = reactor
        self._options = options
        self._on_catalog = on_catalog
        self._on_members = on_members
        self._builder = catalog.Builder(options.site)
        self._incarnation = uuid.uuid4().hex
        self._rng = random.Random()
        self._links = links.PeerLinks(reactor, self, options.peer_host, self._rng)
        self._poller = platform_poller.PlatformPoller(platform, self, self._rng)
        self._distribution = distribution.Distribution()
        self._membership: membership.Membership
        self._address = ""
        self._in_force = 0
        self._in_force_at = 0.0
        self._last_view: membership.MembersView | None = None
        self._last_report: frames.Members | None = None
        self._report_at = 0.0
        self._ping_at = 0.0
        self._timer: typing.Any = None
        self._reader_ready = False
        self._started_at = clock.monotonic()
        self._stopped = False

    @property
    def version(self) -> int:
        """Accepted configuration version; 0 when there is none yet."""
        return self._distribution.version

    @property
    def peer_port(self) -> int:
        """Port on which peer connections are accepted."""
        return self._links.port

    @property
    def status(self) -> ControlStatus:
        """State and counters of this instance's control plane."""
        now = clock.monotonic()
        return ControlStatus(
            version=self.version,
            in_force=self._in_force,
            in_force_age=now - self._in_force_at if self._in_force else None,
            has_configuration=self._in_force > 0,
            is_reader=self._membership.is_reader(now),
            news_age=self._poller.freshness.age(now),
            view=self._membership.view(),
            links=self._links.peers,
            calls=self._poller.counters,
            traffic=self._links.counters,
        )

    def start(self) -> None:
        """Listen for peers and start to fetch the configuration."""
        self._links.listen(self._options.peer_port)
        own = f"{self._options.peer_host}:{self._links.port}"
        self._address = self._options.peer_address or own
        local = membership.Member(
            self._options.instance, self._options.zone, self._address
        )
        self._membership = membership.Membership(local)
        self._tick()

    def stop(self) -> defer.Deferred[typing.Any]:
        """Notify the peers, stop all timers and ignore further events."""
        self._stopped = True
        self._poller.stop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return self._links.stop()

    def _tick(self) -> None:
        self._timer = None
        now = clock.monotonic()
        self._membership.on_tick(now)
        self._perform_actions(self._distribution.on_tick(now))
        self._maintain_links(now)
        is_reader = self._membership.is_reader(now) and self._check_reader_ready(now)
        self._poller.tick(now, is_reader, bool(self._links.peers))
        if now >= self._ping_at:
            self._ping(now)
        self._publish_view(now)
        if not self._stopped:
            delay = TICK_SECONDS * self._rng.uniform(0.8, 1.2)
            self._timer = self._reactor.callLater(delay, self._tick)

    def _check_reader_ready(self, now: float) -> bool:
        # A new instance knows no other member and would therefore consider itself a
        # reader. It waits for its seeds to answer first.
        if self._links.peers or self._poller.freshness.is_check_due(now):
            self._reader_ready = True
        return self._reader_ready

    def _maintain_links(self, now: float) -> None:
        wanted = {
            member.instance: member.address
            for member in self._membership.desired_links(now)
        }
        needs_seeds = len(self._links.peers) < min(MIN_LINKS, len(self._options.seeds))
        self._links.maintain(now, wanted, self._options.seeds if needs_seeds else ())

    def _ping(self, now: float) -> None:
        self._ping_at = now + PING_SECONDS * self._rng.uniform(0.8, 1.0)
        age = self._poller.freshness.age(now)
        age_ms = -1 if age is None else round(age * 1000)
        frame = frames.Ping(self.version, age_ms)
        for name in self._links.peers:
            self._links.send(name, frame)

    def _publish_view(self, now: float) -> None:
        age = self._poller.freshness.age(now)
        recent = age is not None and age < LIST_RECENT_SECONDS
        view = dataclasses.replace(self._membership.view(), recent=recent)
        if view != self._last_view:
            self._last_view = view
            self._on_members(view)
        report = self._membership.report(now)
        if report == self._last_report or now < self._report_at:
            return
        self._last_report = report
        self._report_at = now + REPORT_SECONDS
        for name in self._links.peers:
            self._links.send(name, report)

    # links.PeerHandler

    def hello(self) -> frames.Hello:
        """Return the first frame of this instance."""
        return frames.Hello(
            instance=self._options.instance,
            incarnation=self._incarnation,
            zone=self._options.zone,
            address=self._address,
            version=self.version,
        )

    def on_peer_up(self, hello: frames.Hello) -> None:
        """Handle a new link to a peer."""
        now = clock.monotonic()
        peer = membership.Member(
            hello.instance, hello.zone, hello.address, hello.leaving
        )
        self._membership.on_link_up(now, peer)
        self._links.send(hello.instance, self._membership.report(now))
        self._perform_actions(
            self._distribution.on_link_up(now, hello.instance, hello.version)
        )

    def on_peer_down(self, name: str, planned: bool) -> None:
        """Handle the end of the last link to a peer."""
        now = clock.monotonic()
        probes = self._membership.on_link_down(now, name, planned)
        self._send_probes(probes)
        self._perform_actions(self._distribution.on_link_down(now, name))
        self._publish_view(now)

    def on_dial_failed(self, address: str) -> None:
        """Suspect the members at an address that cannot be reached."""
        now = clock.monotonic()
        for member_state in self._membership.view().members:
            if member_state.member.address == address:
                name = member_state.member.instance
                self._send_probes(self._membership.on_unreachable(now, name))

    def on_peer_frame(self, name: str, frame: frames.Frame) -> None:
        """Handle a frame received from a peer."""
        now = clock.monotonic()
        state_machine = self._distribution
        if isinstance(frame, frames.Ping):
            self._on_ping(now, name, frame)
        elif isinstance(frame, frames.Have):
            self._perform_actions(state_machine.on_have(now, name, frame.version))
        elif isinstance(frame, frames.Want):
            self._perform_actions(state_machine.on_want(now, name, frame))
        elif isinstance(frame, frames.Update):
            self._perform_actions(state_machine.on_update(now, name, frame))
        elif isinstance(frame, frames.Need):
            self._perform_actions(state_machine.on_need(now, name, frame))
        elif isinstance(frame, frames.Chunks):
            self._perform_actions(state_machine.on_chunks(now, name, frame))
        else:
            self._on_member_frame(now, name, frame)

    def _on_member_frame(self, now: float, name: str, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Members):
            self._membership.on_report(now, name, frame)
            self._publish_view(now)
        elif isinstance(frame, frames.Probe):
            self._on_probe(now, name, frame)
        elif isinstance(frame, frames.Probed):
            self._membership.on_probe_result(now, name, frame)
            self._publish_view(now)
        elif isinstance(frame, frames.Bye) and frame.leaving:
            self._membership.on_leaving(now, name)
            self._publish_view(now)

    def _on_ping(self, now: float, name: str, ping: frames.Ping) -> None:
        # Only a peer with the same or a newer version can confirm this version.
        if ping.age_ms >= 0 and ping.version >= self.version:
            self._poller.freshness.on_peer_age(now, ping.age_ms / 1000)
        self._perform_actions(self._distribution.on_have(now, name, ping.version))

    def _on_probe(self, now: float, name: str, probe: frames.Probe) -> None:
        def answer(reachable: bool) -> None:
            self._links.send(name, frames.Probed(probe.instance, reachable))

        self._links.probe(now, probe.instance, probe.address, answer)

    def _send_probes(
        self, probes: collections.abc.Iterable[membership.SendProbe]
    ) -> None:
        for send_probe in probes:
            self._links.send(send_probe.peer, send_probe.probe)

    # platform_poller.PollerHandler

    def on_head(self, head: parts.Head) -> None:
        """Handle the head object."""
        now = clock.monotonic()
        others = self._options.seeds or self._membership.view().live > 1
        starting = bool(others) and now < self._started_at + FIRST_LINKS_SECONDS
        prefer_peers = starting or not self._membership.is_reader(now)
        self._perform_actions(
            self._distribution.on_platform_head(now, head, prefer_peers)
        )

    def on_list(self, listed: tuple[platform_api.ListedInstance, ...]) -> None:
        """Handle the list of instances."""
        now = clock.monotonic()
        self._membership.on_list(now, listed)
        self._publish_view(now)

    def on_chunk(self, chunk_hash: bytes, content: bytes | None) -> None:
        """Handle a chunk; `content` is None if it could not be read."""
        now = clock.monotonic()
        self._perform_actions(
            self._distribution.on_platform_chunk(now, chunk_hash, content)
        )

    def _perform_actions(self, actions: distribution.Actions) -> None:
        for action in actions:
            if isinstance(action, distribution.Send):
                self._links.send(action.peer, action.frame)
            elif isinstance(action, distribution.ReadChunk):
                self._poller.read_chunk(action.chunk_hash)
            elif isinstance(action, distribution.CloseLink):
                self._links.close(action.peer)
            else:
                self._apply_version(action)

    def _apply_version(self, accepted: distribution.Accept) -> None:
        try:
            contents = {
                name: parts.join_content(chunks)
                for name, chunks in accepted.chunks.items()
            }
            built = self._builder.build(accepted.version, contents)
        except msgspec.DecodeError as error:
            _log.error("version %d is not JSON: %s", accepted.version, error)
            return
        if isinstance(built, result.Failure):
            _log.error("version %d is invalid: %s", accepted.version, built.failure())
            return
        self._in_force = accepted.version
        self._in_force_at = clock.monotonic()
        self._on_catalog(built.unwrap())
