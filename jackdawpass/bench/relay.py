"""TCP relay between processes that injects partitions and delays."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import threading
import typing

CHUNK_BYTES = 65536

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True)
class _Upstream:
    host: str
    port: int
    tag: str


class Relay:
    """Relay of TCP links, whose event loop runs in a separate thread.

    Each end of a link has a tag, such as its zone. The tag of the connecting end is
    derived from its source address.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._tags: dict[str, str] = {}
        self._cut: set[frozenset[str]] = set()
        self._links: dict[asyncio.Task[None], frozenset[str]] = {}
        self._delay = 0.0

    def close(self) -> None:
        """Close all links and stop the thread."""
        self._loop.call_soon_threadsafe(self._stop)
        self._thread.join()

    def tag_source(self, host: str, tag: str) -> None:
        """Set the tag of links from a source address."""
        self._tags[host] = tag

    def add(self, host: str, port: int, tag: str) -> int:
        """Relay links to an address; return the port on 127.0.0.1 to connect to."""
        return self._call(self._listen(_Upstream(host, port, tag)))

    def set_delay(self, seconds: float) -> None:
        """Delay all data by `seconds` in each direction."""
        self._delay = seconds

    def set_cut(self, cut: collections.abc.Iterable[tuple[str, str]]) -> None:
        """Close and refuse links between the given pairs of tags; allow all others."""
        self._call(self._apply_cut({frozenset(pair) for pair in cut}))

    async def _apply_cut(self, cut: set[frozenset[str]]) -> None:
        self._cut = cut
        for link, tags in list(self._links.items()):
            if tags in cut:
                link.cancel()

    async def _listen(self, upstream: _Upstream) -> int:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(upstream, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(
        self,
        upstream: _Upstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        tags = frozenset((self._tags.get(source, source), upstream.tag))
        if tags in self._cut:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._links[task] = tags
        try:
            await self._relay(upstream, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._links[task]
            writer.transport.abort()

    async def _relay(
        self,
        upstream: _Upstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            upstream.host, upstream.port
        )
        directions = (
            asyncio.create_task(self._forward(reader, upstream_writer)),
            asyncio.create_task(self._forward(upstream_reader, writer)),
        )
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            upstream_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._delay:
                    await asyncio.sleep(self._delay)
                writer.write(data)
                await writer.drain()

    def _stop(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_soon(self._loop.stop)

    def _call(self, coroutine: collections.abc.Coroutine[object, object, T]) -> T:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)
