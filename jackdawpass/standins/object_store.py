"""Stand-in for the platform's store of objects, in the platform's dialect."""

import dataclasses
import typing

import msgspec

from jackdawpass.standins import wire

# Changes kept for watches; a watch from before them is told that they are gone.
HISTORY = 1000
PAGE_ITEMS = 50


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults that tests induce through ``POST /control/faults``.

    Attributes
    ----------
    silent : bool
        Requests are taken and never answered, not even afterwards.
    refuse : int
        Status of every answer; 0 for none.
    delay_ms : float
        Added to every answer.
    lose_writes : bool
        Writes are done, and their connection is reset instead of an answer.
    """

    silent: bool = False
    refuse: int = 0
    delay_ms: float = 0.0
    lose_writes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Watch:
    connection: wire.ServerConnection
    kind: str
    revision: int
    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    kind: str
    revision: int
    document: dict[str, typing.Any]


class ObjectStore:
    """Keeps objects by kind and name, with one revision counter.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._kinds: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._events: list[_Event] = []
        self._oldest = 0
        self._revision = 1
        self._watches: list[_Watch] = []
        self._faults = StoreFaults()
        self._calls = 0

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(port, wire.ServerFactory(self), interface=host)

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Do nothing."""

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Forget the watch of a closed connection."""
        for watch in [w for w in self._watches if w.connection is connection]:
            watch.timer.cancel()
            self._watches.remove(watch)

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Answer a request as the present faults allow."""
        if request.path.startswith("/control/"):
            self._control(connection, request)
            return
        if "x-operator" in request.headers:
            # Operators are served whatever instances meet.
            self._serve(connection, request)
            return
        self._calls += 1
        if self._faults.silent:
            return
        if self._faults.refuse:
            connection.reply(self._faults.refuse, {})
            return
        delay = self._faults.delay_ms / 1000
        self._reactor.callLater(delay, self._serve, connection, request)

    def _serve(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        kind, _, name = request.path.removeprefix("/objects/").partition("/")
        if request.method != "GET":
            self._write(connection, request, kind, name)
        elif name:
            found = self._kinds.get(kind, {}).get(name)
            connection.reply(404 if found is None else 200, found)
        elif "watch" in request.query:
            self._watch(connection, request, kind)
        else:
            self._list(connection, request, kind)

    def _list(
        self, connection: wire.ServerConnection, request: wire.Request, kind: str
    ) -> None:
        after = request.query.get("after", "")
        names = sorted(name for name in self._kinds.get(kind, {}) if name > after)
        items = [self._kinds[kind][name] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        connection.reply(200, {"items": items, "more": more, "at": self._revision})

    def _watch(
        self, connection: wire.ServerConnection, request: wire.Request, kind: str
    ) -> None:
        revision = int(request.query["watch"])
        if revision < self._oldest:
            connection.reply(410, {})
            return
        wait = float(request.query.get("wait_ms", "0")) / 1000
        if self._news(kind, revision):
            self._answer_watch(connection, kind, revision)
            return
        timer = self._reactor.callLater(
            wait, self._answer_watch, connection, kind, revision
        )
        self._watches.append(_Watch(connection, kind, revision, timer))

    def _news(self, kind: str, revision: int) -> list[dict[str, typing.Any]]:
        return [
            event.document
            for event in self._events
            if event.kind == kind and event.revision > revision
        ]

    def _answer_watch(
        self, connection: wire.ServerConnection, kind: str, revision: int
    ) -> None:
        self._watches = [w for w in self._watches if w.connection is not connection]
        events = self._news(kind, revision)
        connection.reply(200, {"events": events, "at": self._revision})

    def _write(
        self,
        connection: wire.ServerConnection,
        request: wire.Request,
        kind: str,
        name: str,
    ) -> None:
        status, document = self._apply(request, kind, name)
        if self._faults.lose_writes:
            connection.reset()
        else:
            connection.reply(status, document)

    def _apply(
        self, request: wire.Request, kind: str, name: str
    ) -> tuple[int, typing.Any]:
        objects = self._kinds.setdefault(kind, {})
        if request.method == "DELETE":
            removed = objects.pop(name, None)
            if removed is None:
                return 404, None
            self._note(kind, removed, deleted=True)
            return 200, removed
        document = request.document()
        meta = document.get("meta", {})
        name = name or meta["name"]
        present = objects.get(name)
        if request.method == "POST" and present is not None:
            return 409, present
        if request.method == "PUT" and "revision" in meta:
            if present is None or present["meta"]["revision"] != meta["revision"]:
                return 409, present
        objects[name] = {"meta": {"name": name}, "spec": document.get("spec")}
        self._note(kind, objects[name], deleted=False)
        return 200, objects[name]

    def _note(self, kind: str, stored: dict[str, typing.Any], deleted: bool) -> None:
        self._revision += 1
        stored["meta"]["revision"] = self._revision
        event = {"object": dict(stored), "deleted": deleted}
        self._events.append(_Event(kind, self._revision, event))
        del self._events[:-HISTORY]
        for watch in [w for w in self._watches if w.kind == kind]:
            watch.timer.cancel()
            self._answer_watch(watch.connection, watch.kind, watch.revision)

    def _control(
        self, connection: wire.ServerConnection, request: wire.Request
    ) -> None:
        if request.path == "/control/faults":
            self._faults = msgspec.convert(request.document(), StoreFaults)
        elif request.path == "/control/forget":
            self._events.clear()
            self._oldest = self._revision + 1
            self._revision += 1
            for watch in list(self._watches):
                watch.connection.reset()
        connection.reply(200, {"calls": self._calls})
