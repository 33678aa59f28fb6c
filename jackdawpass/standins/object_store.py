"""Stand-in for the platform's object store, with the platform's HTTP API."""

import dataclasses
import typing

import msgspec

from jackdawpass.standins import http_server

# Change events kept for watches. A watch from an older revision misses the dropped
# events without an error; only /control/forget causes status 410.
MAX_EVENTS = 1000
MAX_PAGE_OBJECTS = 50


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults that tests inject through ``POST /control/faults``.

    Attributes
    ----------
    silent : bool
        Requests and waiting watches get no reply, not even after the fault has ended.
    refuse : int
        Status with which every request is refused; 0 disables the fault.
    delay_ms : float
        Delay of every reply.
    lose_writes : bool
        Writes are applied, but the connection is reset instead of a reply.
    """

    silent: bool = False
    refuse: int = 0
    delay_ms: float = 0.0
    lose_writes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Watch:
    connection: http_server.ServerConnection
    kind: str
    revision: int
    timer: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    kind: str
    revision: int
    document: dict[str, typing.Any]


class ObjectStore:
    """Store of objects by kind and name, with one revision counter for all kinds.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor of the process.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._objects_by_kind: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._events: list[_Event] = []
        self._oldest_revision = 0
        self._revision = 1
        self._watches: list[_Watch] = []
        self._faults = StoreFaults()
        self._calls = 0

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(
            port, http_server.ServerFactory(self), interface=host
        )

    def on_open(self, connection: http_server.ServerConnection) -> None:
        """Do nothing, as connections are not limited."""

    def on_closed(self, connection: http_server.ServerConnection) -> None:
        """Cancel the watch of a closed connection."""
        for watch in [w for w in self._watches if w.connection is connection]:
            watch.timer.cancel()
            self._watches.remove(watch)

    def handle(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        """Answer a request, subject to the injected faults."""
        if request.path.startswith("/control/"):
            self._handle_control(connection, request)
            return
        if "x-operator" in request.headers:
            # Faults apply to instances only, not to requests of operators.
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

    def _serve(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        kind, _, name = request.path.removeprefix("/objects/").partition("/")
        if request.method != "GET":
            self._handle_write(connection, request, kind, name)
        elif name:
            current = self._objects_by_kind.get(kind, {}).get(name)
            connection.reply(404 if current is None else 200, current)
        elif "watch" in request.query:
            self._handle_watch(connection, request, kind)
        else:
            self._reply_list(connection, request, kind)

    def _reply_list(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        kind: str,
    ) -> None:
        after = request.query.get("after", "")
        names = sorted(
            name for name in self._objects_by_kind.get(kind, {}) if name > after
        )
        items = [self._objects_by_kind[kind][name] for name in names[:MAX_PAGE_OBJECTS]]
        more = len(names) > MAX_PAGE_OBJECTS
        connection.reply(200, {"items": items, "more": more, "at": self._revision})

    def _handle_watch(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        kind: str,
    ) -> None:
        revision = int(request.query["watch"])
        if revision < self._oldest_revision:
            connection.reply(410, {})
            return
        timeout = float(request.query.get("wait_ms", "0")) / 1000
        if self._events_after(kind, revision):
            self._complete_watch(connection, kind, revision)
            return
        timer = self._reactor.callLater(
            timeout, self._complete_watch, connection, kind, revision
        )
        self._watches.append(_Watch(connection, kind, revision, timer))

    def _events_after(self, kind: str, revision: int) -> list[dict[str, typing.Any]]:
        return [
            event.document
            for event in self._events
            if event.kind == kind and event.revision > revision
        ]

    def _complete_watch(
        self, connection: http_server.ServerConnection, kind: str, revision: int
    ) -> None:
        self._watches = [w for w in self._watches if w.connection is not connection]
        events = self._events_after(kind, revision)
        connection.reply(200, {"events": events, "at": self._revision})

    def _handle_write(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        kind: str,
        name: str,
    ) -> None:
        status, document = self._apply_write(request, kind, name)
        if self._faults.lose_writes:
            connection.reset()
        else:
            connection.reply(status, document)

    def _apply_write(
        self, request: http_server.Request, kind: str, name: str
    ) -> tuple[int, typing.Any]:
        objects = self._objects_by_kind.setdefault(kind, {})
        if request.method == "DELETE":
            removed = objects.pop(name, None)
            if removed is None:
                return 404, None
            self._record_event(kind, removed, deleted=True)
            return 200, removed
        document = request.document()
        meta = document.get("meta", {})
        name = name or meta["name"]
        current = objects.get(name)
        if request.method == "POST" and current is not None:
            return 409, current
        if request.method == "PUT" and "revision" in meta:
            if current is None or current["meta"]["revision"] != meta["revision"]:
                return 409, current
        objects[name] = {"meta": {"name": name}, "spec": document.get("spec")}
        self._record_event(kind, objects[name], deleted=False)
        return 200, objects[name]

    def _record_event(
        self, kind: str, stored: dict[str, typing.Any], deleted: bool
    ) -> None:
        self._revision += 1
        stored["meta"]["revision"] = self._revision
        event = {"object": dict(stored), "deleted": deleted}
        self._events.append(_Event(kind, self._revision, event))
        del self._events[:-MAX_EVENTS]
        for watch in [w for w in self._watches if w.kind == kind]:
            watch.timer.cancel()
            if self._faults.silent:
                self._watches.remove(watch)
            else:
                self._complete_watch(watch.connection, watch.kind, watch.revision)

    def _handle_control(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        if request.path == "/control/faults":
            self._faults = msgspec.convert(request.document(), StoreFaults)
        elif request.path == "/control/forget":
            self._events.clear()
            self._oldest_revision = self._revision + 1
            self._revision += 1
            for watch in list(self._watches):
                watch.connection.reset()
        elif request.path.startswith("/control/spec/"):
            kind, _, name = request.path.removeprefix("/control/spec/").partition("/")
            self._put_bytes(kind, name, request.body)
        connection.reply(200, {"calls": self._calls})

    def _put_bytes(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose content is served as it is, also if it is malformed."""
        stored = {"meta": {"name": name}, "spec": msgspec.Raw(spec)}
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        self._record_event(kind, stored, deleted=False)
