"""Distribution of configuration versions between instances (pure)."""

import collections
import collections.abc
import dataclasses
import hashlib

from jackdawpass.connection import frames
from jackdawpass.version import parts

ANSWER_TIMEOUT_SECONDS = 1.0
UPDATE_CONTENT_BYTES = 256 * 1024
HISTORY_VERSIONS = 16

PartMap = collections.abc.Mapping[str, tuple[bytes, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class BinaryHead:
    """A head with binary hashes."""

    version: int
    writer: str
    previous: str
    parts: PartMap

    @property
    def hashes(self) -> set[bytes]:
        """Hashes of all chunks of all parts."""
        return {each for hashes in self.parts.values() for each in hashes}

    def digest(self) -> bytes:
        """Return the SHA-256 over everything the head says."""
        named = {
            name: [each.hex() for each in hashes] for name, hashes in self.parts.items()
        }
        document = [self.version, self.writer, self.previous, named]
        return hashlib.sha256(parts.encode(document)).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a frame to a linked peer."""

    peer: str
    frame: frames.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChunk:
    """Read a chunk from the platform; its failure is reported as well."""

    hash: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """A version is complete and comes into force.

    Attributes
    ----------
    chunks : mapping of str to tuple of bytes
        Contents of the chunks of each part by its name.
    """

    version: int
    chunks: collections.abc.Mapping[str, tuple[bytes, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link of a peer that breaks the protocol."""

    peer: str


Action = Send | ReadChunk | Accept | CloseLink
Actions = tuple[Action, ...]


@dataclasses.dataclass(slots=True)
class _Fetch:
    head: BinaryHead
    missing: set[bytes]
    source: str | None
    deadline: float


@dataclasses.dataclass(slots=True)
class _Question:
    peer: str
    deadline: float


class Distribution:
    """Holds the accepted version and decides what to fetch and to send.

    The accepted version never decreases: only a complete head of a higher version
    is accepted, whatever its source.
    """

    def __init__(self) -> None:
        self._head = BinaryHead(0, "", "", {})
        self._contents: dict[bytes, bytes] = {}
        self._history: collections.OrderedDict[int, BinaryHead] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, int] = {}
        self._fetch: _Fetch | None = None
        self._question: _Question | None = None
        self._reading: set[bytes] = set()

    @property
    def version(self) -> int:
        """Accepted version; 0 when there is none."""
        return self._head.version

    def on_link_up(self, now: float, peer: str, version: int) -> Actions:
        """Note a new link and the version its peer reports."""
        self._peers[peer] = 0
        if version < self.version:
            known: Actions = (Send(peer, frames.Have(self.version)),)
        else:
            known = ()
        return known + self.on_have(now, peer, version)

    def on_link_down(self, now: float, peer: str) -> Actions:
        """Forget a peer and ask another one for what it owed."""
        self._peers.pop(peer, None)
        if self._question is not None and self._question.peer == peer:
            self._question = None
        if self._fetch is not None and self._fetch.source == peer:
            return self._change_source(now, peer)
        return self._ask(now, None)

    def on_have(self, now: float, peer: str, version: int) -> Actions:
        """Note the version of a peer and ask for it if it is newer."""
        if peer not in self._peers:
            return ()
        self._peers[peer] = max(version, self._peers[peer])
        return self._ask(now, None)

    def on_want(self, now: float, peer: str, want: frames.Want) -> Actions:
        """Send the accepted version as a difference from what the peer has."""
        if self.version == 0 or want.base >= self.version:
            return ()
        base = self._history.get(want.base)
        if base is None:
            lacking = self._head.hashes if want.base == 0 else set()
            base = BinaryHead(0, "", "", {})
        else:
            lacking = self._head.hashes - base.hashes
        update = _difference(base, self._head, self._bounded(sorted(lacking)))
        return (Send(peer, update),)

    def on_update(self, now: float, peer: str, update: frames.Update) -> Actions:
        """Take over a newer head and the contents that came with it."""
        if self._question is not None and self._question.peer == peer:
            self._question = None
        if update.version <= self.version:
            if peer in self._peers:
                self._peers[peer] = update.version
            return self._ask(now, None)
        head = self._apply(update)
        if head is None:
            return self._on_wrong_base(now, peer, update)
        if self._fetch is not None and self._fetch.head.version > head.version:
            return ()
        self._begin(now, head, peer)
        self._take(update.contents)
        return self._advance(now)

    def on_need(self, now: float, peer: str, need: frames.Need) -> Actions:
        """Send the requested contents that are at hand, bounded in size."""
        held = [each for each in need.hashes if each in self._contents]
        return (Send(peer, frames.Chunks(self._bounded(held))),)

    def on_chunks(self, now: float, peer: str, chunks: frames.Chunks) -> Actions:
        """Take over contents that were asked for."""
        if self._fetch is None or self._fetch.source != peer:
            return ()
        if not self._take(chunks.contents):
            return self._change_source(now, peer)
        return self._advance(now)

    def on_platform_head(self, now: float, head: parts.Head, patient: bool) -> Actions:
        """Take over a newer head of the platform; an older one is ignored.

        Parameters
        ----------
        patient : bool
            Give peers time to offer the contents before reading them from the
            platform, which keeps instances that are no readers from reading them.
        """
        fetching = 0 if self._fetch is None else self._fetch.head.version
        if head.version <= max(self.version, fetching):
            return ()
        binary = from_head(head)
        if binary is None:
            return ()
        self._begin(now, binary, None)
        assert self._fetch is not None
        if patient and self._fetch.missing:
            return ()
        return self._advance(now)

    def on_platform_chunk(
        self, now: float, address: bytes, content: bytes | None
    ) -> Actions:
        """Take over a chunk of the platform; None when the read failed."""
        self._reading.discard(address)
        if self._fetch is None or content is None:
            return ()
        if self._take((content,)) and not self._fetch.missing:
            return self._finish(now)
        return ()

    def on_tick(self, now: float) -> Actions:
        """Replace sources that did not answer in time."""
        if self._question is not None and now >= self._question.deadline:
            late = self._question.peer
            self._question = None
            return self._ask(now, late)
        if self._fetch is not None and now >= self._fetch.deadline:
            return self._change_source(now, self._fetch.source)
        return self._ask(now, None)

    def _ask(self, now: float, avoid: str | None) -> Actions:
        fetching = 0 if self._fetch is None else self._fetch.head.version
        if self._question is not None:
            return ()
        known = max(self.version, fetching)
        ahead = [peer for peer, version in self._peers.items() if version > known]
        if not ahead:
            return ()
        peer = min(ahead, key=lambda each: (each == avoid, -self._peers[each]))
        return self._ask_peer(now, peer, self.version)

    def _ask_peer(self, now: float, peer: str, base: int) -> Actions:
        self._question = _Question(peer, now + ANSWER_TIMEOUT_SECONDS)
        return (Send(peer, frames.Want(base)),)

    def _change_source(self, now: float, failed: str | None) -> Actions:
        assert self._fetch is not None
        wanted = self._fetch.head.version
        able = [
            peer
            for peer, version in self._peers.items()
            if version >= wanted and peer != failed
        ]
        self._fetch.source = min(able) if able else None
        self._fetch.deadline = now + ANSWER_TIMEOUT_SECONDS
        return self._advance(now)

    def _apply(self, update: frames.Update) -> BinaryHead | None:
        base = self._history.get(update.base)
        if update.base == 0:
            base = BinaryHead(0, "", "", {})
        if base is None:
            return None
        named = {**base.parts, **update.changed}
        for name in update.removed:
            named.pop(name, None)
        head = BinaryHead(update.version, update.writer, update.previous, named)
        return head if head.digest() == update.digest else None

    def _on_wrong_base(self, now: float, peer: str, update: frames.Update) -> Actions:
        if update.base == 0:
            return (CloseLink(peer),)
        return self._ask_peer(now, peer, 0)

    def _begin(self, now: float, head: BinaryHead, source: str | None) -> None:
        missing = {each for each in head.hashes if each not in self._contents}
        self._fetch = _Fetch(head, missing, source, now + ANSWER_TIMEOUT_SECONDS)

    def _take(self, contents: collections.abc.Iterable[bytes]) -> bool:
        assert self._fetch is not None
        progress = False
        for content in contents:
            address = hashlib.sha256(content).digest()
            if address in self._fetch.missing:
                self._fetch.missing.discard(address)
                self._contents[address] = content
                progress = True
        return progress

    def _advance(self, now: float) -> Actions:
        assert self._fetch is not None
        if not self._fetch.missing:
            return self._finish(now)
        self._fetch.deadline = now + ANSWER_TIMEOUT_SECONDS
        if self._fetch.source is not None:
            wanted = tuple(sorted(self._fetch.missing)[:256])
            return (Send(self._fetch.source, frames.Need(wanted)),)
        unread = sorted(self._fetch.missing - self._reading)
        self._reading.update(unread)
        return tuple(ReadChunk(each) for each in unread)

    def _finish(self, now: float) -> Actions:
        assert self._fetch is not None
        head = self._fetch.head
        self._fetch = None
        if head.version <= self.version:
            return ()
        self._head = head
        self._history[head.version] = head
        while len(self._history) > HISTORY_VERSIONS:
            self._history.popitem(last=False)
        held = head.hashes
        self._contents = {k: v for k, v in self._contents.items() if k in held}
        accepted = Accept(head.version, self._by_name())
        news = tuple(
            Send(peer, frames.Have(head.version))
            for peer, version in self._peers.items()
            if version < head.version
        )
        return (accepted, *news, *self._ask(now, None))

    def _by_name(self) -> dict[str, tuple[bytes, ...]]:
        return {
            name: tuple(self._contents[each] for each in hashes)
            for name, hashes in self._head.parts.items()
        }

    def _bounded(self, hashes: collections.abc.Iterable[bytes]) -> tuple[bytes, ...]:
        chosen: list[bytes] = []
        size = 0
        for each in hashes:
            content = self._contents[each]
            if chosen and size + len(content) > UPDATE_CONTENT_BYTES:
                break
            chosen.append(content)
            size += len(content)
        return tuple(chosen)


def from_head(head: parts.Head) -> BinaryHead | None:
    """Return a head with binary hashes, or None if peers would refuse it."""
    named: dict[str, tuple[bytes, ...]] = {}
    for name, addresses in head.parts.items():
        try:
            named[name] = tuple(bytes.fromhex(each) for each in addresses)
        except ValueError:
            return None
    binary = BinaryHead(head.version, head.writer, head.previous, named)
    whole = _difference(BinaryHead(0, "", "", {}), binary, ())
    return binary if frames.is_valid(whole) else None


def _difference(
    base: BinaryHead, head: BinaryHead, contents: tuple[bytes, ...]
) -> frames.Update:
    changed = {
        name: hashes
        for name, hashes in head.parts.items()
        if base.parts.get(name) != hashes
    }
    removed = tuple(sorted(name for name in base.parts if name not in head.parts))
    return frames.Update(
        version=head.version,
        writer=head.writer,
        previous=head.previous,
        base=base.version,
        changed=changed,
        removed=removed,
        digest=head.digest(),
        contents=contents,
    )
