"""Stand-in for the platform, with its object API and its list of instances."""

import collections.abc
import dataclasses
import typing

import msgspec

from jackdawpass.standins import http_server

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that tests inject through ``POST /control/faults``.

    Attributes
    ----------
    down : bool
        The connection of every call is reset.
    delay_ms : float
        Delay of every reply.
    lose_write_replies : int
        Number of next writes that are applied but get a reset instead of a reply.
    drop_writes : int
        Number of next writes that are reset without being applied.
    stale_list : bool
        The returned list of instances stays as it was when the fault was set.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_write_replies: int = 0
    drop_writes: int = 0
    stale_list: bool = False


@dataclasses.dataclass(slots=True)
class _Watch:
    connection: http_server.ServerConnection
    timer: typing.Any


class PlatformStandIn:
    """Platform that stores objects in memory and counts calls.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Reactor of the process.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._objects: dict[str, tuple[int, object]] = {}
        self._watches: dict[str, list[_Watch]] = {}
        self._instances: list[dict[str, str]] = []
        self._stale_instances: list[dict[str, str]] = []
        self._faults = Faults()
        self._calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0, "list": 0}
        self._next_version = 1
        self._connections: set[http_server.ServerConnection] = set()

    @property
    def calls(self) -> collections.abc.Mapping[str, int]:
        """Number of calls by kind."""
        return self._calls

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(
            port, http_server.ServerFactory(self), interface=host
        )

    def on_open(self, connection: http_server.ServerConnection) -> None:
        """Record a new connection."""
        self._connections.add(connection)

    def on_closed(self, connection: http_server.ServerConnection) -> None:
        """Remove a closed connection and cancel its watches."""
        self._connections.discard(connection)
        for watches in self._watches.values():
            for watch in [w for w in watches if w.connection is connection]:
                watch.timer.cancel()
                watches.remove(watch)

    def handle(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        """Answer a request, subject to the injected faults."""
        if request.path.startswith("/control/"):
            self._handle_control(connection, request)
        elif self._faults.down:
            connection.reset()
        elif self._faults.delay_ms:
            delay = self._faults.delay_ms / 1000
            self._reactor.callLater(delay, self._serve, connection, request)
        else:
            self._serve(connection, request)

    def _serve(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        prefix = "/v1/objects/"
        if request.path == "/v1/instances":
            self._calls["list"] += 1
            connection.reply(200, {"instances": self._visible_instances()})
        elif request.path == "/v1/objects":
            self._calls["read"] += 1
            connection.reply(200, self._list_objects(request.query.get("prefix", "")))
        elif not request.path.startswith(prefix):
            connection.reply(404, {"error": "no such resource"})
        elif request.method == "GET" and "watch" in request.query:
            self._handle_watch(connection, request, request.path.removeprefix(prefix))
        elif request.method == "GET":
            self._calls["read"] += 1
            self._reply_object(connection, request.path.removeprefix(prefix))
        else:
            self._handle_write(connection, request, request.path.removeprefix(prefix))

    def _list_objects(self, prefix: str) -> dict[str, typing.Any]:
        entries = [
            {"key": key, "version": version}
            for key, (version, _) in sorted(self._objects.items())
            if key.startswith(prefix)
        ]
        return {"objects": entries}

    def _reply_object(self, connection: http_server.ServerConnection, key: str) -> None:
        if key not in self._objects:
            connection.reply(404, {"error": "no such object"})
            return
        version, value = self._objects[key]
        connection.reply(200, {"key": key, "version": version, "value": value})

    def _handle_watch(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        key: str,
    ) -> None:
        self._calls["watch"] += 1
        known_version = int(request.query["watch"])
        if key in self._objects and self._objects[key][0] > known_version:
            self._reply_object(connection, key)
            return
        timeout = float(request.query.get("timeout_ms", "30000")) / 1000
        timer = self._reactor.callLater(timeout, self._expire_watch, key, connection)
        self._watches.setdefault(key, []).append(_Watch(connection, timer))

    def _expire_watch(self, key: str, connection: http_server.ServerConnection) -> None:
        watches = self._watches[key]
        watches[:] = [watch for watch in watches if watch.connection is not connection]
        connection.reply(304, None)

    def _handle_write(
        self,
        connection: http_server.ServerConnection,
        request: http_server.Request,
        key: str,
    ) -> None:
        self._calls["write"] += 1
        if self._faults.drop_writes > 0:
            self._faults.drop_writes -= 1
            connection.reset()
            return
        status, document = self._apply_write(request, key)
        if self._faults.lose_write_replies > 0:
            self._faults.lose_write_replies -= 1
            connection.reset()
            return
        connection.reply(status, document)

    def _apply_write(
        self, request: http_server.Request, key: str
    ) -> tuple[int, dict[str, typing.Any]]:
        current = self._objects.get(key)
        if request.headers.get("if-none-match") == "*":
            if current is not None:
                return 412, {"error": "the object exists"}
        elif current is None:
            return 404, {"error": "no such object"}
        elif request.headers.get("if-match") != str(current[0]):
            return 412, {"error": "another version"}
        if len(request.body) > MAX_VALUE_BYTES:
            return 413, {"error": "the value is over 1 MB"}
        if request.method == "DELETE":
            del self._objects[key]
            return 200, {"version": self._next_version}
        return (201 if current is None else 200), {
            "version": self._store_object(key, msgspec.json.decode(request.body))
        }

    def _store_object(self, key: str, value: object) -> int:
        version = self._next_version
        self._next_version += 1
        self._objects[key] = (version, value)
        for watch in self._watches.pop(key, []):
            watch.timer.cancel()
            self._reply_object(watch.connection, key)
        return version

    def _visible_instances(self) -> list[dict[str, str]]:
        return self._stale_instances if self._faults.stale_list else self._instances

    def _handle_control(
        self, connection: http_server.ServerConnection, request: http_server.Request
    ) -> None:
        if request.path == "/control/faults":
            self._set_faults(msgspec.convert(request.document(), Faults))
            connection.reply(200, {})
        elif request.path == "/control/instances":
            self._instances = request.document()["instances"]
            connection.reply(200, {})
        elif request.path == "/control/calls":
            connection.reply(200, dict(self._calls))
        else:
            connection.reply(404, {"error": "no such control"})

    def _set_faults(self, faults: Faults) -> None:
        if faults.stale_list and not self._faults.stale_list:
            self._stale_instances = list(self._instances)
        self._faults = faults
        if faults.down:
            for watches in self._watches.values():
                for watch in list(watches):
                    watch.connection.reset()
