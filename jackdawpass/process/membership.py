"""Member view built from the platform's list, links and peer reports; no I/O."""

import collections.abc
import dataclasses
import enum

from jackdawpass.connection import frames, platform_api
from jackdawpass.process import rendezvous

READERS_PER_ZONE = 2
NEIGHBOUR_LINKS = 2
MAX_REPORT_HOPS = 3
PROBE_TIMEOUT_SECONDS = 3.0
LOST_STATE_SECONDS = 30.0
FLAP_HOLD_DOWN_SECONDS = 5.0
FLAP_HOLD_DOWN_MAX_SECONDS = 120.0
REPORT_RETENTION_SECONDS = 10.0
LIST_MAX_AGE_SECONDS = 10.0
ENTRY_ROLE = "entry"
TARGET_ROLE = "target"


class State(enum.Enum):
    """State of a member as seen by this instance."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry instance."""

    instance: str
    zone: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """A member and its state as seen by this instance."""

    member: Member
    state: State


@dataclasses.dataclass(frozen=True, slots=True)
class MembersView:
    """Members known to an instance, including itself.

    Attributes
    ----------
    live, leaving : int
        Number of entry instances. A lost one still counts as live while any list
        or report names it, so that the instances' shares of a connection limit do
        not exceed the limit together.
    leaving_targets : frozenset of str
        Names of targets that the platform lists as leaving.
    recent : bool
        True if a reader received a reply from the platform recently, so that the
        list is only slightly out of date.
    """

    live: int
    leaving: int
    leaving_targets: frozenset[str]
    members: tuple[MemberState, ...]
    recent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendProbe:
    """Request to a linked peer to check whether it can reach an instance."""

    peer: str
    probe: frames.Probe


@dataclasses.dataclass(slots=True)
class _Report:
    members: dict[str, frames.ReportedMember]
    leaving_targets: frozenset[str]
    list_hops: int
    expires_at: float | None = None


@dataclasses.dataclass(slots=True)
class _Suspicion:
    probers: set[str]
    expires_at: float


class Membership:
    """State machine that maintains the member view of one instance.

    A member is marked as lost only if other peers cannot reach it either. A member
    that comes back is not eligible as a reader for a hold-down time, which doubles
    with each loss up to a maximum.

    Parameters
    ----------
    local : Member
        This instance.
    """

    def __init__(self, local: Member) -> None:
        self._local = local
        self._platform_list: _Report | None = None
        self._listed_at = 0.0
        self._reports: dict[str, _Report] = {}
        self._linked: dict[str, Member] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._lost_until: dict[str, float] = {}
        self._loss_counts: dict[str, int] = {}
        self._hold_down_until: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._known: dict[str, frames.ReportedMember] = {}
        self._merge_reports()

    @property
    def linked(self) -> collections.abc.Mapping[str, Member]:
        """Peers with an open link."""
        return self._linked

    def on_list(
        self,
        now: float,
        listed: collections.abc.Iterable[platform_api.ListedInstance],
    ) -> None:
        """Replace the list read from the platform, which may be out of date."""
        members = {}
        leaving = set()
        for listed_instance in listed:
            if listed_instance.role == ENTRY_ROLE:
                members[listed_instance.instance] = frames.ReportedMember(
                    listed_instance.instance,
                    listed_instance.zone,
                    listed_instance.address,
                    listed_instance.leaving,
                )
            elif listed_instance.role == TARGET_ROLE and listed_instance.leaving:
                leaving.add(listed_instance.instance)
        self._platform_list = _Report(members, frozenset(leaving), 0)
        self._listed_at = now
        self._merge_reports()

    def on_report(self, now: float, peer: str, report: frames.Members) -> None:
        """Replace the report of a peer."""
        members = {
            member.instance: dataclasses.replace(member, hops=member.hops + 1)
            for member in report.members
            if member.hops < MAX_REPORT_HOPS
        }
        targets = frozenset(report.leaving_targets)
        self._reports[peer] = _Report(members, targets, report.list_hops + 1)
        self._merge_reports()

    def on_link_up(self, now: float, peer: Member) -> None:
        """Mark a peer as reachable, since a link to it was opened."""
        name = peer.instance
        was_lost = name in self._lost_until
        self._linked[name] = peer
        if name in self._reports:
            self._reports[name].expires_at = None
        self._mark_reachable(name)
        if was_lost:
            hold_down = FLAP_HOLD_DOWN_SECONDS * 2 ** (
                self._loss_counts.get(name, 1) - 1
            )
            self._hold_down_until[name] = now + min(
                hold_down, FLAP_HOLD_DOWN_MAX_SECONDS
            )
        if peer.leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        self._merge_reports()

    def on_leaving(self, now: float, peer: str) -> None:
        """Record that a peer announced its planned shutdown."""
        self._leaving.add(peer)
        self._merge_reports()

    def on_link_down(
        self, now: float, peer: str, planned: bool
    ) -> tuple[SendProbe, ...]:
        """Suspect a peer and have others probe it, unless it closed as planned."""
        member = self._linked.pop(peer, None)
        if peer in self._reports:
            self._reports[peer].expires_at = now + REPORT_RETENTION_SECONDS
        self._merge_reports()
        if member is None or planned or peer in self._leaving:
            return ()
        return self._suspect(now, member)

    def on_unreachable(self, now: float, peer: str) -> tuple[SendProbe, ...]:
        """Suspect a member that could not be connected to."""
        known = self._known.get(peer)
        if known is None or peer in self._linked or peer in self._lost_until:
            return ()
        if peer == self._local.instance:
            return ()
        return self._suspect(now, Member(peer, known.zone, known.address))

    def on_probe_result(self, now: float, peer: str, probed: frames.Probed) -> None:
        """Apply the result of a peer's probe of a suspected member."""
        name = probed.instance
        if probed.reachable:
            self._mark_reachable(name)
            self._merge_reports()
            return
        suspicion = self._suspicions.get(name)
        if suspicion is None or peer not in suspicion.probers:
            return
        suspicion.probers.discard(peer)
        if not suspicion.probers:
            self._mark_lost(now, name)

    def on_tick(self, now: float) -> None:
        """Remove expired state; an expired suspicion does not mark a member as lost."""
        for name in [n for n, s in self._suspicions.items() if now >= s.expires_at]:
            del self._suspicions[name]
        for name in [n for n, at in self._lost_until.items() if now >= at]:
            del self._lost_until[name]
        for peer in [p for p, r in self._reports.items() if _is_expired(now, r)]:
            del self._reports[peer]
        self._expire_platform_list(now)
        self._merge_reports()

    def view(self) -> MembersView:
        """Return the current view."""
        states = tuple(
            MemberState(_from_reported(member), self._state(member))
            for _, member in sorted(self._known.items())
        )
        leaving = sum(member_state.state is State.LEAVING for member_state in states)
        targets, _ = self._leaving_targets()
        return MembersView(len(states) - leaving, leaving, targets, states)

    def readers(self, now: float, zone: str) -> tuple[str, ...]:
        """Return the readers of a zone, from all members if none is eligible."""
        zone_members = [
            member for member in self._known.values() if member.zone == zone
        ]
        eligible = [
            member.instance
            for member in zone_members
            if self._can_be_reader(now, member)
        ]
        candidates = eligible or [member.instance for member in zone_members]
        return tuple(rendezvous.ranked(zone, candidates)[:READERS_PER_ZONE])

    def is_reader(self, now: float) -> bool:
        """Return whether this instance considers itself a reader of its zone."""
        return self._local.instance in self.readers(now, self._local.zone)

    def desired_links(self, now: float) -> tuple[Member, ...]:
        """Return the members to which this instance keeps links."""
        zone = self._local.zone
        zone_names = [e.instance for e in self._known.values() if e.zone == zone]
        selected = list(self.readers(now, zone))
        others = [name for name in zone_names if name not in selected]
        ranking_key = f"neighbour\0{self._local.instance}"
        neighbours = [
            n
            for n in rendezvous.ranked(ranking_key, others)
            if n != self._local.instance
        ]
        reachable = [name for name in neighbours if name not in self._lost_until]
        selected += reachable[:NEIGHBOUR_LINKS]
        if self.is_reader(now):
            zones = {member.zone for member in self._known.values()} - {zone}
            selected += [self._reader_of(now, other) for other in sorted(zones)]
        return tuple(
            _from_reported(self._known[name])
            for name in dict.fromkeys(selected)
            if name != self._local.instance
        )

    def report(self, now: float) -> frames.Members:
        """Return the report for peers; readers also relay what others reported."""
        max_hops = MAX_REPORT_HOPS - 1 if self.is_reader(now) else 0
        members = tuple(
            dataclasses.replace(member, leaving=self._is_leaving(member))
            for name, member in sorted(self._known.items())
            if member.hops <= max_hops and name not in self._lost_until
        )
        targets, hops = self._leaving_targets()
        if hops > max_hops:
            return frames.Members(members, (), MAX_REPORT_HOPS)
        return frames.Members(members, tuple(sorted(targets)), hops)

    def address_of(self, name: str) -> str | None:
        """Return the address of a known member."""
        known = self._known.get(name)
        return None if known is None else known.address

    def _reader_of(self, now: float, zone: str) -> str:
        readers = self.readers(now, zone)
        linked = [name for name in readers if name in self._linked]
        reachable = [name for name in readers if name not in self._suspicions]
        return (linked or reachable or list(readers))[0]

    def _can_be_reader(self, now: float, member: frames.ReportedMember) -> bool:
        name = member.instance
        if name == self._local.instance:
            return not self._local.leaving
        if name in self._lost_until or self._is_leaving(member):
            return False
        return now >= self._hold_down_until.get(name, now)

    def _is_leaving(self, member: frames.ReportedMember) -> bool:
        return member.leaving or member.instance in self._leaving

    def _state(self, member: frames.ReportedMember) -> State:
        if self._is_leaving(member):
            return State.LEAVING
        if member.instance in self._lost_until:
            return State.LOST
        if member.instance in self._suspicions:
            return State.SUSPECTED
        return State.LIVE

    def _suspect(self, now: float, member: Member) -> tuple[SendProbe, ...]:
        linked_peers = [name for name in self._linked if name != member.instance]
        probers = rendezvous.ranked(member.instance, linked_peers)[:2]
        expires_at = now + PROBE_TIMEOUT_SECONDS
        self._suspicions[member.instance] = _Suspicion(set(probers), expires_at)
        probe = frames.Probe(member.instance, member.address)
        return tuple(SendProbe(peer, probe) for peer in probers)

    def _mark_lost(self, now: float, name: str) -> None:
        self._suspicions.pop(name, None)
        self._lost_until[name] = now + LOST_STATE_SECONDS
        self._loss_counts[name] = min(self._loss_counts.get(name, 0) + 1, 8)
        self._merge_reports()

    def _mark_reachable(self, name: str) -> None:
        self._suspicions.pop(name, None)
        self._lost_until.pop(name, None)

    def _leaving_targets(self) -> tuple[frozenset[str], int]:
        reports = [r for r in self._all_reports() if r.list_hops < MAX_REPORT_HOPS]
        hops = min((report.list_hops for report in reports), default=MAX_REPORT_HOPS)
        nearest = [
            report.leaving_targets for report in reports if report.list_hops == hops
        ]
        return frozenset[str]().union(*nearest), hops

    def _expire_platform_list(self, now: float) -> None:
        if self._platform_list is None or now < self._listed_at + LIST_MAX_AGE_SECONDS:
            return
        self._platform_list.list_hops = MAX_REPORT_HOPS - 1
        if any(report.list_hops == 1 for report in self._reports.values()):
            self._platform_list = None

    def _all_reports(self) -> list[_Report]:
        own = [] if self._platform_list is None else [self._platform_list]
        return own + list(self._reports.values())

    def _merge_reports(self) -> None:
        known: dict[str, frames.ReportedMember] = {}
        for report in self._all_reports():
            for name, member in report.members.items():
                nearest = known.get(name)
                if nearest is None or member.hops < nearest.hops:
                    known[name] = member
        for name, peer in self._linked.items():
            known[name] = _to_reported(peer)
        known[self._local.instance] = _to_reported(self._local)
        self._known = known
        self._leaving &= set(known)
        for times in (self._loss_counts, self._hold_down_until):
            for name in set(times) - set(known):
                del times[name]


def _is_expired(now: float, report: _Report) -> bool:
    return report.expires_at is not None and now >= report.expires_at


def _to_reported(member: Member) -> frames.ReportedMember:
    return frames.ReportedMember(
        member.instance, member.zone, member.address, member.leaving
    )


def _from_reported(reported: frames.ReportedMember) -> Member:
    return Member(reported.instance, reported.zone, reported.address, reported.leaving)
