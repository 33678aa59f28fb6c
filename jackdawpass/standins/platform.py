"""Stand-in for the platform: object API and list of instances."""

import collections.abc
import dataclasses
import typing

import msgspec

from jackdawpass.standins import wire

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that tests induce through ``POST /control/faults``.

    Attributes
    ----------
    down : bool
        Every call is reset.
    delay_ms : float
        Added to every reply.
    lose_write_replies : int
        Number of coming writes that take effect but are answered by a reset.
    drop_writes : int
        Number of coming writes that are reset without taking effect.
    stale_list : bool
        The list of instances stays as it was when this was set.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_write_replies: int = 0
    drop_writes: int = 0
    stale_list: bool = False


@dataclasses.dataclass(slots=True)
class _Watch:
    connection: wire.ServerConnection
    timer: typing.Any


class PlatformStandIn:
    """Keeps objects in memory and counts calls.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._objects: dict[str, tuple[int, object]] = {}
        self._watches: dict[str, list[_Watch]] = {}
        self._instances: list[dict[str, str]] = []
        self._listed: list[dict[str, str]] = []
        self._faults = Faults()
        self._calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0, "list": 0}
        self._next_version = 1
        self._connections: set[wire.ServerConnection] = set()

    @property
    def calls(self) -> collections.abc.Mapping[str, int]:
        """Number of calls by kind."""
        return self._calls

    def listen(self, port: int = 0, host: str = "127.0.0.1") -> typing.Any:
        """Listen and return the listening port."""
        return self._reactor.listenTCP(port, wire.ServerFactory(self), interface=host)

    def on_open(self, connection: wire.ServerConnection) -> None:
        """Note a new connection."""
        self._connections.add(connection)

    def on_closed(self, connection: wire.ServerConnection) -> None:
        """Forget a closed connection and its watches."""
        self._connections.discard(connection)
        for watches in self._watches.values():
            for watch in [w for w in watches if w.connection is connection]:
                watch.timer.cancel()
                watches.remove(watch)

    def handle(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        """Answer a request."""
        if request.path.startswith("/control/"):
            self._control(connection, request)
        elif self._faults.down:
            connection.reset()
        elif self._faults.delay_ms:
            delay = self._faults.delay_ms / 1000
            self._reactor.callLater(delay, self._serve, connection, request)
        else:
            self._serve(connection, request)

    def _serve(self, connection: wire.ServerConnection, request: wire.Request) -> None:
        prefix = "/v1/objects/"
        if request.path == "/v1/instances":
            self._calls["list"] += 1
            connection.reply(200, {"instances": self._visible_instances()})
        elif request.path == "/v1/objects":
            self._calls["read"] += 1
            connection.reply(200, self._list(request.query.get("prefix", "")))
        elif not request.path.startswith(prefix):
            connection.reply(404, {"error": "no such resource"})
        elif request.method == "GET" and "watch" in request.query:
            self._watch(connection, request, request.path.removeprefix(prefix))
        elif request.method == "GET":
            self._calls["read"] += 1
            self._reply_object(connection, request.path.removeprefix(prefix))
        else:
            self._write(connection, request, request.path.removeprefix(prefix))

    def _list(self, prefix: str) -> dict[str, typing.Any]:
        entries = [
            {"key": key, "version": version}
            for key, (version, _) in sorted(self._objects.items())
            if key.startswith(prefix)
        ]
        return {"objects": entries}

    def _reply_object(self, connection: wire.ServerConnection, key: str) -> None:
        if key not in self._objects:
            connection.reply(404, {"error": "no such object"})
            return
        version, value = self._objects[key]
        connection.reply(200, {"key": key, "version": version, "value": value})

    def _watch(
        self, connection: wire.ServerConnection, request: wire.Request, key: str
    ) -> None:
        self._calls["watch"] += 1
        known = int(request.query["watch"])
        if key in self._objects and self._objects[key][0] > known:
            self._reply_object(connection, key)
            return
        timeout = float(request.query.get("timeout_ms", "30000")) / 1000
        timer = self._reactor.callLater(timeout, self._expire, key, connection)
        self._watches.setdefault(key, []).append(_Watch(connection, timer))

    def _expire(self, key: str, connection: wire.ServerConnection) -> None:
        watches = self._watches[key]
        watches[:] = [watch for watch in watches if watch.connection is not connection]
        connection.reply(304, None)

    def _write(
        self, connection: wire.ServerConnection, request: wire.Request, key: str
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
        self, request: wire.Request, key: str
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
            "version": self._store(key, msgspec.json.decode(request.body))
        }

    def _store(self, key: str, value: object) -> int:
        version = self._next_version
        self._next_version += 1
        self._objects[key] = (version, value)
        for watch in self._watches.pop(key, []):
            watch.timer.cancel()
            self._reply_object(watch.connection, key)
        return version

    def _visible_instances(self) -> list[dict[str, str]]:
        return self._listed if self._faults.stale_list else self._instances

    def _control(
        self, connection: wire.ServerConnection, request: wire.Request
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
            self._listed = list(self._instances)
        self._faults = faults
        if faults.down:
            for watches in self._watches.values():
                for watch in list(watches):
                    watch.connection.reset()
