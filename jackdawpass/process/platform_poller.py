"""Platform calls of the control plane, limited by backoff and a call budget."""

import collections
import dataclasses
import random
import typing

from returns import result

from jackdawpass import clock, errors
from jackdawpass.connection import platform_api
from jackdawpass.process import schedule
from jackdawpass.version import parts

WATCH_SECONDS = 4.0
LIST_SECONDS = 1.0
MAX_PARALLEL_CHUNK_READS = 8


class PollerHandler(typing.Protocol):
    """Handler of the platform's replies."""

    def on_head(self, head: parts.Head) -> None:
        """Handle the head object."""

    def on_list(self, listed: tuple[platform_api.ListedInstance, ...]) -> None:
        """Handle the list of instances."""

    def on_chunk(self, chunk_hash: bytes, content: bytes | None) -> None:
        """Handle a chunk; `content` is None if it could not be read."""


@dataclasses.dataclass(slots=True)
class CallCounters:
    """Numbers of platform calls since the start of the process."""

    watch: int = 0
    head: int = 0
    chunk: int = 0
    list: int = 0
    failed: int = 0


class PlatformPoller:
    """Poller that watches the head, lists instances and reads chunks.

    Readers watch and list continuously. Other instances only check the platform when
    their peers have not confirmed the version for too long.

    Parameters
    ----------
    platform : PlatformApi
        The platform's object API.
    handler : PollerHandler
        Receives the replies.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self,
        platform: platform_api.PlatformApi,
        handler: PollerHandler,
        rng: random.Random,
    ) -> None:
        now = clock.monotonic()
        self._platform = platform
        self._handler = handler
        self._rng = rng
        self._counters = CallCounters()
        self._budget = schedule.CallBudget(now)
        self._freshness = schedule.Freshness(now, rng)
        self._head_backoff = schedule.Backoff(rng)
        self._list_backoff = schedule.Backoff(rng)
        self._chunk_backoff = schedule.Backoff(rng)
        self._object_version = 0
        self._head_pending = False
        self._list_pending = False
        self._list_at = 0.0
        self._queued_chunks: collections.deque[bytes] = collections.deque()
        self._reads_in_flight = 0
        self._is_reader = False
        self._stopped = False

    @property
    def counters(self) -> CallCounters:
        """Numbers of calls since the start of the process."""
        return self._counters

    @property
    def freshness(self) -> schedule.Freshness:
        """Time of the last confirmation that the version is current."""
        return self._freshness

    def stop(self) -> None:
        """Make no more calls and ignore pending replies."""
        self._stopped = True
        self._queued_chunks.clear()

    def tick(self, now: float, is_reader: bool, linked: bool) -> None:
        """Make the calls that are due, according to the instance's role."""
        self._is_reader = is_reader
        if self._stopped:
            return
        if is_reader:
            self._request_list(now)
            self._watch(now)
        elif self._freshness.is_check_due(now):
            self._freshness.on_check_started(now)
            if not linked:
                self._request_list(now)
            self._read_head(now)

    def read_chunk(self, chunk_hash: bytes) -> None:
        """Queue a chunk to be read from the platform."""
        self._queued_chunks.append(chunk_hash)
        self._read_chunks()

    @property
    def _max_backoff(self) -> float:
        if self._is_reader:
            return schedule.READER_BACKOFF_MAX_SECONDS
        return schedule.OTHER_BACKOFF_MAX_SECONDS

    def _watch(self, now: float) -> None:
        if not self._can_request_head(now):
            return
        self._head_pending = True
        self._counters.watch += 1
        timeout = WATCH_SECONDS * self._rng.uniform(0.7, 1.0)
        known_version = self._object_version
        deferred = self._platform.watch(parts.HEAD_KEY, known_version, timeout)
        deferred.addCallback(self._on_watch_reply, known_version)

    def _read_head(self, now: float) -> None:
        if not self._can_request_head(now):
            return
        self._head_pending = True
        self._counters.head += 1
        self._platform.read(parts.HEAD_KEY).addCallback(self._on_read_reply)

    def _can_request_head(self, now: float) -> bool:
        if self._head_pending or not self._head_backoff.ready(now):
            return False
        return self._budget.take(now)

    def _on_watch_reply(
        self, reply: platform_api.WatchResult, known_version: int
    ) -> None:
        now = clock.monotonic()
        if isinstance(reply, result.Success):
            stored = reply.unwrap()
            # Without backoff, a watch that returns an old version at once would be
            # repeated in a busy loop.
            stale = stored is not None and stored.version <= known_version
            self._on_head_reply(now, stored, stale)
        else:
            self._on_head_failure(now, reply.failure())
        if self._is_reader and not self._stopped:
            self._watch(now)

    def _on_read_reply(self, read: platform_api.ReadResult) -> None:
        now = clock.monotonic()
        if isinstance(read, result.Success):
            self._on_head_reply(now, read.unwrap(), False)
        else:
            self._on_head_failure(now, read.failure())

    def _on_head_reply(
        self, now: float, stored: platform_api.StoredObject | None, stale: bool
    ) -> None:
        self._head_pending = False
        if stale:
            self._head_backoff.on_failure(now, self._max_backoff)
        else:
            self._head_backoff.on_success()
        self._freshness.on_platform_reply(now)
        head = None if stored is None else parts.parse_head(stored.value)
        if stored is None or head is None or self._stopped:
            return
        self._object_version = max(self._object_version, stored.version)
        self._handler.on_head(head)

    def _on_head_failure(self, now: float, error: errors.PlatformError) -> None:
        self._head_pending = False
        self._counters.failed += 1
        self._head_backoff.on_failure(now, self._max_backoff)
        if isinstance(error, errors.ObjectMissing):
            self._freshness.on_platform_reply(now)

    def _request_list(self, now: float) -> None:
        if self._list_pending or now < self._list_at:
            return
        if not self._list_backoff.ready(now) or not self._budget.take(now):
            return
        self._list_pending = True
        self._list_at = now + LIST_SECONDS * self._rng.uniform(0.8, 1.2)
        self._counters.list += 1
        self._platform.instances().addCallback(self._on_list_reply)

    def _on_list_reply(self, listed: platform_api.ListResult) -> None:
        now = clock.monotonic()
        self._list_pending = False
        if isinstance(listed, result.Failure):
            self._counters.failed += 1
            self._list_backoff.on_failure(now, self._max_backoff)
            return
        self._list_backoff.on_success()
        if not self._stopped:
            self._handler.on_list(listed.unwrap())

    def _read_chunks(self) -> None:
        now = clock.monotonic()
        while self._queued_chunks and self._reads_in_flight < MAX_PARALLEL_CHUNK_READS:
            chunk_hash = self._queued_chunks.popleft()
            if not self._chunk_backoff.ready(now) or not self._budget.take(now):
                self._handler.on_chunk(chunk_hash, None)
                continue
            self._reads_in_flight += 1
            self._counters.chunk += 1
            deferred = self._platform.read(parts.CHUNK_PREFIX + chunk_hash.hex())
            deferred.addCallback(self._on_chunk_reply, chunk_hash)

    def _on_chunk_reply(self, read: platform_api.ReadResult, chunk_hash: bytes) -> None:
        now = clock.monotonic()
        self._reads_in_flight -= 1
        content = None
        if isinstance(read, result.Success):
            self._chunk_backoff.on_success()
            content = parts.encode(read.unwrap().value)
        else:
            self._counters.failed += 1
        if content is None and self._chunk_backoff.ready(now):
            self._chunk_backoff.on_failure(now, self._max_backoff)
        if not self._stopped:
            self._handler.on_chunk(chunk_hash, content)
            self._read_chunks()
