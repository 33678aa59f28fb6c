"""What instances say to each other besides the callers' own requests."""

import collections.abc
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
# In a request the shards that are wanted of its route, in a reply those in it, each
# with the signature of its target.
SHARDS = b"jackdawpass-shards"
# Names the shards of the route and their order, whichever version says so.
SHARD_SET = b"jackdawpass-shard-set"
# Milliseconds after which a partial reply is wanted.
ANSWER_WITHIN_MS = b"jackdawpass-answer-within-ms"
HEADERS = frozenset(
    (VERSION, STATE, NOT_TAKEN, AGE_MS, SHARDS, SHARD_SET, ANSWER_WITHIN_MS)
)

PING_PATH = b"/-/ping"
PING = b"GET " + PING_PATH + b" HTTP/1.1\r\nHost: peer\r\n\r\n"


class State(enum.Enum):
    """Whether an instance should be asked for others.

    A stale one serves, but the store does not tell it of changes.
    """

    READY = "ready"
    STALE = "stale"
    ISOLATED = "isolated"
    UNREADY = "unready"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an instance says of itself."""

    state: State
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Subquery:
    """What an instance is asked of a request for many shards.

    Attributes
    ----------
    shard_set : str
        Digest of the route's shards in their order, by which they are numbered.
    answer_within : float
        Seconds after which a partial reply is wanted.
    """

    shard_set: str
    shards: frozenset[int]
    answer_within: float


def encode_report(report: Report) -> ingress.Headers:
    """Return the headers that report an instance's state."""
    return ((VERSION, b"%d" % report.version), (STATE, report.state.value.encode()))


def encode_forwarding_headers(age: float, version: int) -> ingress.Headers:
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


def encode_subquery(subquery: Subquery) -> ingress.Headers:
    """Return the headers of a request for some shards."""
    shards = b",".join(b"%d" % shard for shard in sorted(subquery.shards))
    return (
        (SHARD_SET, subquery.shard_set.encode()),
        (SHARDS, shards),
        (ANSWER_WITHIN_MS, b"%d" % round(subquery.answer_within * 1000)),
    )


def decode_subquery(request: ingress.IncomingRequest) -> Subquery | None:
    """Return what a request asks of its shards; None when it asks for the whole."""
    shards = request.header(SHARDS)
    if shards is None:
        return None
    try:
        wanted = frozenset(int(shard) for shard in shards.split(b","))
        within = int(request.header(ANSWER_WITHIN_MS) or b"") / 1000
    except ValueError:
        # Shards that no route has: the request is not taken.
        return Subquery("", frozenset(), 0.0)
    shard_set = (request.header(SHARD_SET) or b"").decode("latin-1")
    return Subquery(shard_set, wanted, within)


def encode_signatures(
    signatures: collections.abc.Mapping[int, str],
) -> ingress.Headers:
    """Return the header of a reply that holds the records of some shards."""
    entries = (f"{shard}={signature}" for shard, signature in signatures.items())
    return ((SHARDS, ",".join(entries).encode("latin-1")),)


def decode_signatures(reply: dialect.HttpReply) -> dict[int, str]:
    """Return the signature of each shard in a reply; empty when it has none."""
    signatures = {}
    for entry in (reply.header(SHARDS) or b"").decode("latin-1").split(","):
        shard, _, signature = entry.partition("=")
        if not shard.isdigit() or not signature:
            return {}
        signatures[int(shard)] = signature
    return signatures
