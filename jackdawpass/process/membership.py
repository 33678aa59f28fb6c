"""Members: platform list, seeds, links and peers' reports (pure)."""

import collections.abc
import dataclasses
import enum

from jackdawpass.connection import frames, platform_api
from jackdawpass.process import rendezvous

READERS_PER_ZONE = 2
NEIGHBOURS = 2
MAX_REPORT_HOPS = 3
PROBE_TIMEOUT_SECONDS = 3.0
LOST_SECONDS = 30.0
FLAP_HOLD_SECONDS = 5.0
FLAP_HOLD_MAX_SECONDS = 120.0
REPORT_KEPT_SECONDS = 10.0
LIST_FRESH_SECONDS = 10.0
ENTRY_ROLE = "entry"
TARGET_ROLE = "target"


class State(enum.Enum):
    """What the instance believes of a member."""

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
    """A member and what the instance believes of it."""

    member: Member
    state: State


@dataclasses.dataclass(frozen=True, slots=True)
class MembersView:
    """What an instance knows of the others; includes itself.

    Attributes
    ----------
    live, leaving : int
        Number of entry instances. A lost one still counts as live while any list
        or report names it, so that shares of connection limits stay on the safe
        side.
    leaving_targets : frozenset of str
        Names of targets that the platform lists as leaving.
    recent : bool
        True when a reader has heard from the platform lately, so that the list lags
        by little.
    """

    live: int
    leaving: int
    leaving_targets: frozenset[str]
    members: tuple[MemberState, ...]
    recent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask a linked peer whether it reaches an instance."""

    peer: str
    probe: frames.Probe


@dataclasses.dataclass(slots=True)
class _Report:
    members: dict[str, frames.ReportedMember]
    leaving_targets: frozenset[str]
    list_hops: int
    ends_at: float | None = None


@dataclasses.dataclass(slots=True)
class _Suspicion:
    asked: set[str]
    ends_at: float


class Membership:
    """Keeps the member view of one instance.

    Parameters
    ----------
    me : Member
        This instance.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._listing: _Report | None = None
        self._listed_at = 0.0
        self._reports: dict[str, _Report] = {}
        self._linked: dict[str, Member] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._lost_until: dict[str, float] = {}
        self._losses: dict[str, int] = {}
        self._held_until: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._known: dict[str, frames.ReportedMember] = {}
        self._merge()

    @property
    def linked(self) -> collections.abc.Mapping[str, Member]:
        """Peers with an open link."""
        return self._linked

    def on_list(
        self,
        now: float,
        listed: collections.abc.Iterable[platform_api.ListedInstance],
    ) -> None:
        """Take over the platform's list, which may lag."""
        members = {}
        leaving = set()
        for each in listed:
            if each.role == ENTRY_ROLE:
                members[each.instance] = frames.ReportedMember(
                    each.instance, each.zone, each.address, each.leaving
                )
            elif each.role == TARGET_ROLE and each.leaving:
                leaving.add(each.instance)
        self._listing = _Report(members, frozenset(leaving), 0)
        self._listed_at = now
        self._merge()

    def on_report(self, now: float, peer: str, report: frames.Members) -> None:
        """Take over a peer's report, which replaces its earlier one."""
        members = {
            each.instance: dataclasses.replace(each, hops=each.hops + 1)
            for each in report.members
            if each.hops < MAX_REPORT_HOPS
        }
        targets = frozenset(report.leaving_targets)
        self._reports[peer] = _Report(members, targets, report.list_hops + 1)
        self._merge()

    def on_link_up(self, now: float, peer: Member) -> None:
        """Note direct evidence of a peer."""
        name = peer.instance
        returned = name in self._lost_until
        self._linked[name] = peer
        if name in self._reports:
            self._reports[name].ends_at = None
        self._clear(name)
        if returned:
            hold = FLAP_HOLD_SECONDS * 2 ** (self._losses.get(name, 1) - 1)
            self._held_until[name] = now + min(hold, FLAP_HOLD_MAX_SECONDS)
        if peer.leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        self._merge()

    def on_leaving(self, now: float, peer: str) -> None:
        """Note that a peer announced its planned stop."""
        self._leaving.add(peer)
        self._merge()

    def on_link_down(
        self, now: float, peer: str, planned: bool
    ) -> tuple[SendProbe, ...]:
        """Suspect a peer and ask others about it, unless the end was planned."""
        member = self._linked.pop(peer, None)
        if peer in self._reports:
            self._reports[peer].ends_at = now + REPORT_KEPT_SECONDS
        self._merge()
        if member is None or planned or peer in self._leaving:
            return ()
        return self._suspect(now, member)

    def on_unreachable(self, now: float, peer: str) -> tuple[SendProbe, ...]:
        """Suspect a member that could not be connected to."""
        known = self._known.get(peer)
        if known is None or peer in self._linked or peer in self._lost_until:
            return ()
        if peer == self._me.instance:
            return ()
        return self._suspect(now, Member(peer, known.zone, known.address))

    def on_probed(self, now: float, peer: str, probed: frames.Probed) -> None:
        """Take over another route's evidence of a suspected peer."""
        name = probed.instance
        if probed.reachable:
            self._clear(name)
            self._merge()
            return
        suspicion = self._suspicions.get(name)
        if suspicion is None or peer not in suspicion.asked:
            return
        suspicion.asked.discard(peer)
        if not suspicion.asked:
            self._drop(now, name)

    def on_tick(self, now: float) -> None:
        """End what has expired; an unanswered suspicion ends without a drop."""
        for name in [n for n, s in self._suspicions.items() if now >= s.ends_at]:
            del self._suspicions[name]
        for name in [n for n, at in self._lost_until.items() if now >= at]:
            del self._lost_until[name]
        for peer in [p for p, r in self._reports.items() if _ended(now, r)]:
            del self._reports[peer]
        self._age_listing(now)
        self._merge()

    def view(self) -> MembersView:
        """Return the current view."""
        states = tuple(
            MemberState(_member(each), self._state(each))
            for _, each in sorted(self._known.items())
        )
        leaving = sum(each.state is State.LEAVING for each in states)
        targets, _ = self._leaving_targets()
        return MembersView(len(states) - leaving, leaving, targets, states)

    def readers(self, now: float, zone: str) -> tuple[str, ...]:
        """Return the readers of a zone; all its members are candidates if none is."""
        named = [each for each in self._known.values() if each.zone == zone]
        able = [each.instance for each in named if self._may_read(now, each)]
        names = able or [each.instance for each in named]
        return tuple(rendezvous.ranked(zone, names)[:READERS_PER_ZONE])

    def is_reader(self, now: float) -> bool:
        """Return whether this instance considers itself a reader of its zone."""
        return self._me.instance in self.readers(now, self._me.zone)

    def wanted(self, now: float) -> tuple[Member, ...]:
        """Return the members to link to."""
        zone = self._me.zone
        mine = [e.instance for e in self._known.values() if e.zone == zone]
        chosen = list(self.readers(now, zone))
        others = [name for name in mine if name not in chosen]
        duty = f"neighbour\0{self._me.instance}"
        near = [n for n in rendezvous.ranked(duty, others) if n != self._me.instance]
        able = [name for name in near if name not in self._lost_until]
        chosen += able[:NEIGHBOURS]
        if self.is_reader(now):
            zones = {each.zone for each in self._known.values()} - {zone}
            chosen += [self._reader_of(now, other) for other in sorted(zones)]
        return tuple(
            _member(self._known[name])
            for name in dict.fromkeys(chosen)
            if name != self._me.instance
        )

    def report(self, now: float) -> frames.Members:
        """Return the report for peers: first-hand, and as a reader also relayed."""
        furthest = MAX_REPORT_HOPS - 1 if self.is_reader(now) else 0
        members = tuple(
            dataclasses.replace(each, leaving=self._is_leaving(each))
            for name, each in sorted(self._known.items())
            if each.hops <= furthest and name not in self._lost_until
        )
        targets, hops = self._leaving_targets()
        if hops > furthest:
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

    def _may_read(self, now: float, each: frames.ReportedMember) -> bool:
        name = each.instance
        if name == self._me.instance:
            return not self._me.leaving
        if name in self._lost_until or self._is_leaving(each):
            return False
        return now >= self._held_until.get(name, now)

    def _is_leaving(self, each: frames.ReportedMember) -> bool:
        return each.leaving or each.instance in self._leaving

    def _state(self, each: frames.ReportedMember) -> State:
        if self._is_leaving(each):
            return State.LEAVING
        if each.instance in self._lost_until:
            return State.LOST
        if each.instance in self._suspicions:
            return State.SUSPECTED
        return State.LIVE

    def _suspect(self, now: float, member: Member) -> tuple[SendProbe, ...]:
        routes = [name for name in self._linked if name != member.instance]
        asked = rendezvous.ranked(member.instance, routes)[:2]
        ends_at = now + PROBE_TIMEOUT_SECONDS
        self._suspicions[member.instance] = _Suspicion(set(asked), ends_at)
        probe = frames.Probe(member.instance, member.address)
        return tuple(SendProbe(peer, probe) for peer in asked)

    def _drop(self, now: float, name: str) -> None:
        self._suspicions.pop(name, None)
        self._lost_until[name] = now + LOST_SECONDS
        self._losses[name] = min(self._losses.get(name, 0) + 1, 8)
        self._merge()

    def _clear(self, name: str) -> None:
        self._suspicions.pop(name, None)
        self._lost_until.pop(name, None)

    def _leaving_targets(self) -> tuple[frozenset[str], int]:
        reports = [r for r in self._all_reports() if r.list_hops < MAX_REPORT_HOPS]
        hops = min((each.list_hops for each in reports), default=MAX_REPORT_HOPS)
        nearest = [each.leaving_targets for each in reports if each.list_hops == hops]
        return frozenset[str]().union(*nearest), hops

    def _age_listing(self, now: float) -> None:
        if self._listing is None or now < self._listed_at + LIST_FRESH_SECONDS:
            return
        self._listing.list_hops = MAX_REPORT_HOPS - 1
        if any(each.list_hops == 1 for each in self._reports.values()):
            self._listing = None

    def _all_reports(self) -> list[_Report]:
        own = [] if self._listing is None else [self._listing]
        return own + list(self._reports.values())

    def _merge(self) -> None:
        known: dict[str, frames.ReportedMember] = {}
        for report in self._all_reports():
            for name, each in report.members.items():
                present = known.get(name)
                if present is None or each.hops < present.hops:
                    known[name] = each
        for name, peer in self._linked.items():
            known[name] = _reported(peer)
        known[self._me.instance] = _reported(self._me)
        self._known = known
        self._leaving &= set(known)
        for kept in (self._losses, self._held_until):
            for name in set(kept) - set(known):
                del kept[name]


def _ended(now: float, report: _Report) -> bool:
    return report.ends_at is not None and now >= report.ends_at


def _reported(member: Member) -> frames.ReportedMember:
    return frames.ReportedMember(
        member.instance, member.zone, member.address, member.leaving
    )


def _member(each: frames.ReportedMember) -> Member:
    return Member(each.instance, each.zone, each.address, each.leaving)
