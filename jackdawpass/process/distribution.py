"""Protocol logic that distributes configuration versions; performs no I/O."""

import collections
import collections.abc
import dataclasses
import hashlib

from jackdawpass.connection import frames
from jackdawpass.version import parts

ANSWER_TIMEOUT_SECONDS = 1.0
MAX_FRAME_CONTENT_BYTES = 256 * 1024
HISTORY_VERSIONS = 16

PartMap = collections.abc.Mapping[str, tuple[bytes, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class BinaryHead:
    """A head whose chunk hashes are bytes instead of hexadecimal text."""

    version: int
    writer: str
    previous: str
    parts: PartMap

    @property
    def hashes(self) -> set[bytes]:
        """Hashes of all chunks of all parts."""
        return {chunk_hash for hashes in self.parts.values() for chunk_hash in hashes}

    def digest(self) -> bytes:
        """Return the SHA-256 of all fields of the head."""
        hashes_by_part = {
            name: [chunk_hash.hex() for chunk_hash in hashes]
            for name, hashes in self.parts.items()
        }
        document = [self.version, self.writer, self.previous, hashes_by_part]
        return hashlib.sha256(parts.encode(document)).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Request to send a frame to a linked peer."""

    peer: str
    frame: frames.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChunk:
    """Request to read a chunk from the platform.

    The result is passed to `Distribution.on_platform_chunk`, also if the read fails.
    """

    chunk_hash: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """Report that all chunks of a version are present, so that it can be applied.

    Attributes
    ----------
    chunks : mapping of str to tuple of bytes
        Contents of the chunks of each part, by name of the part.
    """

    version: int
    chunks: collections.abc.Mapping[str, tuple[bytes, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Request to close the link to a peer, which has violated the protocol."""

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
class _PendingWant:
    peer: str
    deadline: float


class Distribution:
    """State machine that fetches newer versions and serves the accepted one to peers.

    The accepted version never decreases: a head is accepted only if its version is
    higher and all of its chunks are present, whether it came from a peer or from the
    platform.
    """

    def __init__(self) -> None:
        self._head = BinaryHead(0, "", "", {})
        self._contents: dict[bytes, bytes] = {}
        self._history: collections.OrderedDict[int, BinaryHead] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, int] = {}
        self._fetch: _Fetch | None = None
        self._pending_want: _PendingWant | None = None
        self._pending_reads: set[bytes] = set()

    @property
    def version(self) -> int:
        """Accepted version; 0 when there is none."""
        return self._head.version

    def on_link_up(self, now: float, peer: str, version: int) -> Actions:
        """Register a linked peer and the version that it reported."""
        self._peers[peer] = 0
        if version < self.version:
            announcement: Actions = (Send(peer, frames.Have(self.version)),)
        else:
            announcement = ()
        return announcement + self.on_have(now, peer, version)

    def on_link_down(self, now: float, peer: str) -> Actions:
        """Remove a peer and repeat its unanswered requests at another source."""
        self._peers.pop(peer, None)
        if self._pending_want is not None and self._pending_want.peer == peer:
            self._pending_want = None
        if self._fetch is not None and self._fetch.source == peer:
            return self._change_source(now, peer)
        return self._request_newer(now, None)

    def on_have(self, now: float, peer: str, version: int) -> Actions:
        """Record the version of a peer, and request a newer version."""
        if peer not in self._peers:
            return ()
        self._peers[peer] = max(version, self._peers[peer])
        return self._request_newer(now, None)

    def on_want(self, now: float, peer: str, want: frames.Want) -> Actions:
        """Send the accepted version as a difference from the peer's version."""
        if self.version == 0 or want.base >= self.version:
            return ()
        base = self._history.get(want.base)
        if base is None:
            missing_hashes = self._head.hashes if want.base == 0 else set()
            base = BinaryHead(0, "", "", {})
        else:
            missing_hashes = self._head.hashes - base.hashes
        update = _difference(
            base, self._head, self._contents_within_limit(sorted(missing_hashes))
        )
        return (Send(peer, update),)

    def on_update(self, now: float, peer: str, update: frames.Update) -> Actions:
        """Start to fetch a newer version, using the contents sent with its head."""
        if self._pending_want is not None and self._pending_want.peer == peer:
            self._pending_want = None
        if update.version <= self.version:
            if peer in self._peers:
                self._peers[peer] = update.version
            return self._request_newer(now, None)
        head = self._apply_update(update)
        if head is None:
            return self._on_unusable_update(now, peer, update)
        if self._fetch is not None and self._fetch.head.version > head.version:
            return ()
        self._start_fetch(now, head, peer)
        self._add_contents(update.contents)
        return self._continue_fetch(now)

    def on_need(self, now: float, peer: str, need: frames.Need) -> Actions:
        """Send the requested contents that are available, up to the frame limit."""
        available = [
            chunk_hash for chunk_hash in need.hashes if chunk_hash in self._contents
        ]
        return (Send(peer, frames.Chunks(self._contents_within_limit(available))),)

    def on_chunks(self, now: float, peer: str, chunks: frames.Chunks) -> Actions:
        """Add requested contents, or change the source if none of them is usable."""
        if self._fetch is None or self._fetch.source != peer:
            return ()
        if not self._add_contents(chunks.contents):
            return self._change_source(now, peer)
        return self._continue_fetch(now)

    def on_platform_head(
        self, now: float, head: parts.Head, prefer_peers: bool
    ) -> Actions:
        """Start to fetch the version of the platform's head if it is newer.

        Parameters
        ----------
        prefer_peers : bool
            Wait for peers to send the contents before reading them from the
            platform. Instances that are not readers thereby avoid platform reads.
        """
        pending_version = 0 if self._fetch is None else self._fetch.head.version
        if head.version <= max(self.version, pending_version):
            return ()
        binary = to_binary_head(head)
        if binary is None:
            return ()
        self._start_fetch(now, binary, None)
        assert self._fetch is not None
        if prefer_peers and self._fetch.missing:
            return ()
        return self._continue_fetch(now)

    def on_platform_chunk(
        self, now: float, chunk_hash: bytes, content: bytes | None
    ) -> Actions:
        """Add a chunk read from the platform; `content` is None if the read failed."""
        self._pending_reads.discard(chunk_hash)
        if self._fetch is None or content is None:
            return ()
        if self._add_contents((content,)) and not self._fetch.missing:
            return self._complete_fetch(now)
        return ()

    def on_tick(self, now: float) -> Actions:
        """Replace peers that did not answer within the timeout."""
        if self._pending_want is not None and now >= self._pending_want.deadline:
            unresponsive = self._pending_want.peer
            self._pending_want = None
            return self._request_newer(now, unresponsive)
        if self._fetch is not None and now >= self._fetch.deadline:
            return self._change_source(now, self._fetch.source)
        return self._request_newer(now, None)

    def _request_newer(self, now: float, avoid: str | None) -> Actions:
        pending_version = 0 if self._fetch is None else self._fetch.head.version
        if self._pending_want is not None:
            return ()
        known_version = max(self.version, pending_version)
        newer = [
            peer for peer, version in self._peers.items() if version > known_version
        ]
        if not newer:
            return ()
        peer = min(newer, key=lambda name: (name == avoid, -self._peers[name]))
        return self._send_want(now, peer, self.version)

    def _send_want(self, now: float, peer: str, base: int) -> Actions:
        self._pending_want = _PendingWant(peer, now + ANSWER_TIMEOUT_SECONDS)
        return (Send(peer, frames.Want(base)),)

    def _change_source(self, now: float, failed: str | None) -> Actions:
        assert self._fetch is not None
        wanted_version = self._fetch.head.version
        candidates = [
            peer
            for peer, version in self._peers.items()
            if version >= wanted_version and peer != failed
        ]
        self._fetch.source = min(candidates) if candidates else None
        self._fetch.deadline = now + ANSWER_TIMEOUT_SECONDS
        return self._continue_fetch(now)

    def _apply_update(self, update: frames.Update) -> BinaryHead | None:
        base = self._history.get(update.base)
        if update.base == 0:
            base = BinaryHead(0, "", "", {})
        if base is None:
            return None
        hashes_by_part = {**base.parts, **update.changed}
        for name in update.removed:
            hashes_by_part.pop(name, None)
        head = BinaryHead(
            update.version, update.writer, update.previous, hashes_by_part
        )
        return head if head.digest() == update.digest else None

    def _on_unusable_update(
        self, now: float, peer: str, update: frames.Update
    ) -> Actions:
        if update.base == 0:
            return (CloseLink(peer),)
        return self._send_want(now, peer, 0)

    def _start_fetch(self, now: float, head: BinaryHead, source: str | None) -> None:
        missing = {
            chunk_hash for chunk_hash in head.hashes if chunk_hash not in self._contents
        }
        self._fetch = _Fetch(head, missing, source, now + ANSWER_TIMEOUT_SECONDS)

    def _add_contents(self, contents: collections.abc.Iterable[bytes]) -> bool:
        assert self._fetch is not None
        added = False
        for content in contents:
            chunk_hash = hashlib.sha256(content).digest()
            if chunk_hash in self._fetch.missing:
                self._fetch.missing.discard(chunk_hash)
                self._contents[chunk_hash] = content
                added = True
        return added

    def _continue_fetch(self, now: float) -> Actions:
        assert self._fetch is not None
        if not self._fetch.missing:
            return self._complete_fetch(now)
        self._fetch.deadline = now + ANSWER_TIMEOUT_SECONDS
        if self._fetch.source is not None:
            requested = tuple(sorted(self._fetch.missing)[:256])
            return (Send(self._fetch.source, frames.Need(requested)),)
        unrequested = sorted(self._fetch.missing - self._pending_reads)
        self._pending_reads.update(unrequested)
        return tuple(ReadChunk(chunk_hash) for chunk_hash in unrequested)

    def _complete_fetch(self, now: float) -> Actions:
        assert self._fetch is not None
        head = self._fetch.head
        self._fetch = None
        if head.version <= self.version:
            return ()
        self._head = head
        self._history[head.version] = head
        while len(self._history) > HISTORY_VERSIONS:
            self._history.popitem(last=False)
        referenced = head.hashes
        self._contents = {k: v for k, v in self._contents.items() if k in referenced}
        accepted = Accept(head.version, self._chunks_by_part())
        announcements = tuple(
            Send(peer, frames.Have(head.version))
            for peer, version in self._peers.items()
            if version < head.version
        )
        return (accepted, *announcements, *self._request_newer(now, None))

    def _chunks_by_part(self) -> dict[str, tuple[bytes, ...]]:
        return {
            name: tuple(self._contents[chunk_hash] for chunk_hash in hashes)
            for name, hashes in self._head.parts.items()
        }

    def _contents_within_limit(
        self, hashes: collections.abc.Iterable[bytes]
    ) -> tuple[bytes, ...]:
        selected: list[bytes] = []
        size = 0
        for chunk_hash in hashes:
            content = self._contents[chunk_hash]
            if selected and size + len(content) > MAX_FRAME_CONTENT_BYTES:
                break
            selected.append(content)
            size += len(content)
        return tuple(selected)


def to_binary_head(head: parts.Head) -> BinaryHead | None:
    """Convert the hashes of a head to bytes; None if peers would reject the head."""
    hashes_by_part: dict[str, tuple[bytes, ...]] = {}
    for name, hashes in head.parts.items():
        try:
            hashes_by_part[name] = tuple(
                bytes.fromhex(chunk_hash) for chunk_hash in hashes
            )
        except ValueError:
            return None
    binary = BinaryHead(head.version, head.writer, head.previous, hashes_by_part)
    full_update = _difference(BinaryHead(0, "", "", {}), binary, ())
    return binary if frames.is_valid(full_update) else None


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
