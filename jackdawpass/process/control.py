"""Keeps the accepted configuration of this instance current."""

import collections.abc
import typing

from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.version import catalog, parts

WATCH_SECONDS = 30.0
RETRY_SECONDS = 1.0

OnCatalog = collections.abc.Callable[[catalog.Catalog], None]


class Control:
    """Watches the head object and builds a catalog for each newer version."""

    def __init__(
        self,
        reactor: typing.Any,
        platform: platform_api.PlatformApi,
        site: str,
        on_catalog: OnCatalog,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._site = site
        self._on_catalog = on_catalog
        self._contents: dict[str, bytes] = {}
        self._version = 0
        self._object_version = 0
        self._stopped = False

    @property
    def version(self) -> int:
        """Accepted configuration version; 0 when there is none yet."""
        return self._version

    def start(self) -> None:
        """Begin to watch."""
        self._watch()

    def stop(self) -> None:
        """Ignore whatever arrives from now on."""
        self._stopped = True

    def _watch(self) -> None:
        if self._stopped:
            return
        watching = self._platform.watch(
            parts.HEAD_KEY, self._object_version, WATCH_SECONDS
        )
        watching.addCallback(self._on_watch)

    def _on_watch(self, watched: platform_api.WatchResult) -> None:
        if isinstance(watched, result.Failure):
            self._retry()
            return
        stored = watched.unwrap()
        head = None if stored is None else parts.parse_head(stored.value)
        if stored is None or head is None:
            self._watch()
            return
        fetching = self._fetch(head)
        fetching.addCallback(self._on_contents, head, stored.version)

    def _retry(self) -> None:
        if not self._stopped:
            self._reactor.callLater(RETRY_SECONDS, self._watch)

    @defer.inlineCallbacks
    def _fetch(
        self, head: parts.Head
    ) -> typing.Generator[
        defer.Deferred[typing.Any],
        typing.Any,
        result.Result[dict[str, bytes], errors.PlatformError],
    ]:
        contents = {}
        known = {parts.chunk_hash(each): each for each in self._contents.values()}
        for name, (address,) in head.parts.items():
            if address in known:
                contents[name] = known[address]
                continue
            read = yield self._platform.read(parts.CHUNK_PREFIX + address)
            if isinstance(read, result.Failure):
                return read
            contents[name] = parts.encode(read.unwrap().value)
        return result.Success(contents)

    def _on_contents(
        self,
        fetched: result.Result[dict[str, bytes], errors.PlatformError],
        head: parts.Head,
        object_version: int,
    ) -> None:
        if self._stopped:
            return
        contents = fetched.value_or(None)
        if contents is None:
            self._retry()
            return
        self._object_version = object_version
        if head.version > self._version:
            built = catalog.build(head.version, self._site, contents)
            current = built.value_or(None)
            if current is not None:
                self._contents = contents
                self._version = head.version
                self._on_catalog(current)
        self._watch()
