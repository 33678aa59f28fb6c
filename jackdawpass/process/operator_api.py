"""HTTP resources for operators: status, events and drain."""

import typing

from twisted.web import resource, server

from jackdawpass.process import events, http_api
from jackdawpass.request import model, problems

MAX_EVENTS = 10_000
# All numbers with this many digits fit in 64 bits.
MAX_SEQUENCE_DIGITS = 18


class Instance(typing.Protocol):
    """Interface of an instance for the operator resources."""

    @property
    def event_buffer(self) -> events.EventBuffer:
        """Events of this process."""

    def status(self) -> model.JsonObject:
        """Return the status document."""

    def drain(self) -> object:
        """Start a graceful shutdown."""


def resources(instance: Instance) -> dict[bytes, resource.Resource]:
    """Return the resources by path segment under ``/v1``."""
    return {
        b"status": _Status(instance),
        b"events": _Events(instance),
        b"drain": _Drain(instance),
    }


class _Status(http_api.LeafResource):
    def __init__(self, instance: Instance) -> None:
        super().__init__()
        self._instance = instance

    def render_GET(self, request: server.Request) -> bytes:
        return http_api.render(request, 200, self._instance.status())


class _Events(http_api.LeafResource):
    def __init__(self, instance: Instance) -> None:
        super().__init__()
        self._instance = instance

    def render_GET(self, request: server.Request) -> bytes:
        after = _parse_after(request)
        if after is None:
            return http_api.render(
                request, 400, _invalid_after_problem(), problems.CONTENT_TYPE
            )
        event_buffer = self._instance.event_buffer
        selected = event_buffer.after(after, MAX_EVENTS)
        document = {
            "process": event_buffer.process,
            "last": event_buffer.last_seq,
            "next": selected[-1].seq if selected else after,
            "events": selected,
        }
        return http_api.render(request, 200, document)


class _Drain(http_api.LeafResource):
    def __init__(self, instance: Instance) -> None:
        super().__init__()
        self._instance = instance

    def render_POST(self, request: server.Request) -> bytes:
        self._instance.drain()
        return http_api.render(request, 202, self._instance.status())


def _parse_after(request: server.Request) -> int | None:
    values = (request.args or {}).get(b"after", [b"0"])
    text = values[-1].decode("ascii", "replace")
    valid = text.isdecimal() and len(text) <= MAX_SEQUENCE_DIGITS
    return int(text) if valid else None


def _invalid_after_problem() -> model.JsonObject:
    problem = problems.not_run(
        problems.ProblemKind.MALFORMED_REQUEST,
        "after is not a sequence number; use a whole number from 0",
    )
    return problems.to_document(problem, "")
