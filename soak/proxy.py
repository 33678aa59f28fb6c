"""Loopback proxies that delay, reset or block links in one or both directions."""

import asyncio
import collections.abc
import contextlib
import enum
import threading
import typing

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.02


class Mode(enum.Enum):
    """How a link forwards bytes.

    CALM forwards them at once and SLOW after a delay. SILENT holds all bytes back,
    NO_REPLIES only those of replies. RESET aborts the connections.
    """

    CALM = "calm"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_REPLIES = "no_replies"


SLOW_DELAY_SECONDS = 0.08


class Link:
    """A proxied link whose mode may change at any time."""

    def __init__(self, port: int) -> None:
        self.upstream_port = port
        self.port = 0
        self.mode = Mode.CALM
        self.connections: set[asyncio.StreamWriter] = set()


class Proxies:
    """All proxied links of a run; they share one thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, port: int) -> Link:
        """Open a proxied link to a port of 127.0.0.1."""
        link = Link(port)
        self._call(self._listen(link))
        return link

    def set_mode(self, link: Link, mode: Mode) -> None:
        """Set the mode of a link; RESET also aborts its open connections."""
        link.mode = mode
        if mode is Mode.RESET:
            self._call(self._reset(link))

    def close(self) -> None:
        """Stop all links and their thread."""
        self._loop.call_soon_threadsafe(self._stop)
        self._thread.join()

    async def _listen(self, link: Link) -> None:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._relay(link, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        link.port = int(server.sockets[0].getsockname()[1])

    async def _reset(self, link: Link) -> None:
        for writer in list(link.connections):
            writer.transport.abort()

    async def _relay(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if link.mode is Mode.RESET:
            writer.transport.abort()
            return
        link.connections.add(writer)
        with contextlib.suppress(OSError):
            upstream = await asyncio.open_connection("127.0.0.1", link.upstream_port)
            forwarders = {
                asyncio.create_task(self._forward(link, reader, upstream[1], False)),
                asyncio.create_task(self._forward(link, upstream[0], writer, True)),
            }
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            for forwarder in forwarders:
                forwarder.cancel()
            upstream[1].transport.abort()
        link.connections.discard(writer)
        writer.transport.abort()

    async def _forward(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while link.mode is Mode.SILENT or (
                    link.mode is Mode.NO_REPLIES and is_reply
                ):
                    await asyncio.sleep(POLL_SECONDS)
                if link.mode is Mode.SLOW:
                    await asyncio.sleep(SLOW_DELAY_SECONDS)
                writer.write(data)
                await writer.drain()

    def _stop(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_soon(self._loop.stop)

    def _call(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)
