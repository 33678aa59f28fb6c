"""What instances of one zone say to each other besides the callers' own requests."""

import dataclasses
import enum

from jackdawpass.connection import dialect, ingress

# Configuration version: in a request the newest seen, in a reply the one in force.
VERSION = b"jackdawpass-version"
# State of the instance that replies.
STATE = b"jackdawpass-state"
# Present in a reply that says that the request was not taken.
NOT_TAKEN = b"jackdawpass-not-taken"
# Milliseconds since the request reached the instance that hands it over.
AGE_MS = b"jackdawpass-age-ms"
HEADERS = frozenset((VERSION, STATE, NOT_TAKEN, AGE_MS))

PING_PATH = b"/-/ping"
PING = b"GET " + PING_PATH + b" HTTP/1.1\r\nHost: peer\r\n\r\n"


class State(enum.Enum):
    """Whether an instance should be asked for others."""

    READY = "ready"
    ISOLATED = "isolated"
    UNREADY = "unready"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance says of itself."""

    state: State
    version: int


def encode_report(report: Report) -> ingress.Headers:
    """Return the headers that report an instance's state."""
    return ((VERSION, b"%d" % report.version), (STATE, report.state.value.encode()))


def encode_request(age: float, version: int) -> ingress.Headers:
    """Return the headers of a request that is handed over; `age` is in seconds."""
    return ((VERSION, b"%d" % version), (AGE_MS, b"%d" % round(age * 1000)))


def decode_age(request: ingress.IncomingRequest) -> float:
    """Return the age, in seconds, of a request that was handed over."""
    value = request.header(AGE_MS) or b"0"
    return int(value) / 1000 if value.isdigit() else 0.0


def decode_seen_version(request: ingress.IncomingRequest) -> int:
    """Return the version that the instance which hands a request over has seen."""
    value = request.header(VERSION) or b"0"
    return int(value) if value.isdigit() else 0


def decode_report(reply: dialect.HttpReply) -> Report | None:
    """Return the report in a reply; None when it has none that can be read."""
    try:
        state = State((reply.header(STATE) or b"").decode("latin-1"))
        return Report(state, int(reply.header(VERSION) or b""))
    except ValueError:
        return None


def without_report(headers: ingress.Headers) -> ingress.Headers:
    """Return the headers that are meant for the caller."""
    dropped = HEADERS | ingress.CONNECTION_HEADERS | {b"content-length"}
    return tuple((name, value) for name, value in headers if name not in dropped)
