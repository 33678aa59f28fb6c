"""Calls of the store's client, whose connections the test plays."""

import typing

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from jackdawpass.platform import store
from jackdawpass.process.serving import object_cache


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Accept the abort."""


class Harness:
    """A client with one connection; the test reads its calls and answers them."""

    def __init__(self) -> None:
        reactor = MemoryReactorClock()
        decoders = {"servers": lambda name, content: bytes(content)}
        self.client = store.StoreClient(reactor, "127.0.0.1", 80, decoders)
        self.results: list[typing.Any] = []
        self._transport = Transport()
        self._reactor = reactor
        self._connection: typing.Any = None

    def list(self) -> None:
        self.client.list("servers").addCallback(self.results.append)
        factory = self._reactor.tcpClients[0][2]
        self._connection = factory.buildProtocol(None)
        self._connection.makeConnection(self._transport)

    def take_call(self) -> str:
        """Return the path of the call that waits for its answer."""
        path = self._transport.value().split(b" ")[1].decode()
        self._transport.clear()
        return path

    def answer(self, document: object) -> None:
        body = msgspec.json.encode(document)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._connection.dataReceived(head + body)


@pytest.fixture
def harness() -> Harness:
    return Harness()


def _page(name: str, at: int, more: bool) -> dict[str, object]:
    stored = {"meta": {"name": name, "revision": at}, "spec": 1}
    return {"items": [stored], "at": at, "more": more}


def test_list_in_pages_is_complete_up_to_its_first_page(harness: Harness) -> None:
    """Guards against changes to a page that is read already, which no watch names."""
    harness.list()
    assert harness.take_call() == "/objects/servers"
    harness.answer(_page("a", at=10, more=True))
    assert harness.take_call() == "/objects/servers?after=a"
    harness.answer(_page("b", at=14, more=False))
    (listed,) = harness.results
    listing = listed.unwrap()
    assert listing.revision == 10
    assert listing.items == (
        object_cache.Item("a", b"1", 10),
        object_cache.Item("b", b"1", 14),
    )
