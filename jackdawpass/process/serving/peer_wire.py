"""Headers and messages that instances exchange in addition to callers' requests."""

import collections.abc
import dataclasses
import enum
import itertools
import urllib.parse

from jackdawpass.connection import dialect, ingress
from jackdawpass.request import model
from jackdawpass.version import routes

# Configuration version: in a request the newest one seen, in a reply the one in force.
VERSION = b"jackdawpass-version"
# State of the replying instance.
STATE = b"jackdawpass-state"
# Present in a reply that declines the request.
NOT_TAKEN = b"jackdawpass-not-taken"
# Value of NOT_TAKEN: the request is idempotent, but must not be forwarded again.
NO_REPEAT = b"no-repeat"
# Present in a request that another aggregator may already be serving.
REPEAT = b"jackdawpass-repeat"
# In a reply that declines a repeat: the request must run at most once, and its route
# allows this many milliseconds.
RUNS_ONCE_WITHIN_MS = b"jackdawpass-runs-once-within-ms"
# Milliseconds since the request reached the forwarding instance.
AGE_MS = b"jackdawpass-age-ms"
# Milliseconds until the forwarding instance stops.
STOPS_IN_MS = b"jackdawpass-stops-in-ms"
# In a request the wanted shards of its route; in a reply the covered shards, each with
# the signature of its target.
SHARDS = b"jackdawpass-shards"
# Digest of the route's shards and limits, independent of the version.
FANOUT_DIGEST = b"jackdawpass-fanout"
# Milliseconds after which a partial reply is wanted.
ANSWER_WITHIN_MS = b"jackdawpass-answer-within-ms"
# In a reply the incarnations of targets that have announced since the request that they
# leave.
LEAVING = b"jackdawpass-leaving"
# In a reply the incarnations of targets that have asked since the request for a pause,
# each with the remaining milliseconds.
PAUSING = b"jackdawpass-pausing"
# In the reply to a ping the limits for callers: header and body bytes, header and idle
# timeouts in milliseconds.
LIMITS = b"jackdawpass-limits"
HEADERS = frozenset(
    (
        VERSION,
        STATE,
        NOT_TAKEN,
        REPEAT,
        RUNS_ONCE_WITHIN_MS,
        AGE_MS,
        STOPS_IN_MS,
        SHARDS,
        FANOUT_DIGEST,
        ANSWER_WITHIN_MS,
        LEAVING,
        PAUSING,
        LIMITS,
    )
)

# Notices in one reply at most, so that its head stays within the receiver's limit.
MAX_NOTICES = 256
# Digits of a number in a notice at most; a start is given in milliseconds since 1970.
MAX_NOTICE_DIGITS = 15

PING_PATH = b"/-/ping"
PING = b"GET " + PING_PATH + b" HTTP/1.1\r\nHost: peer\r\n\r\n"


class State(enum.Enum):
    """Readiness of an instance for requests from other instances.

    A stale instance serves requests, but receives no changes from the store. An
    isolated one reaches only the targets of its own zone.
    """

    READY = "ready"
    STALE = "stale"
    ISOLATED = "isolated"
    UNREADY = "unready"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State and configuration version that an instance reports."""

    state: State
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Subquery:
    """The part of a request to many shards that another instance answers.

    Attributes
    ----------
    fanout_digest : str
        Digest of the route's shards, in their order, and of its limits.
    answer_within : float
        Seconds after which a partial reply is wanted.
    """

    fanout_digest: str
    shards: frozenset[int]
    answer_within: float


def encode_report(report: Report) -> ingress.Headers:
    """Return the headers that report an instance's state."""
    return ((VERSION, b"%d" % report.version), (STATE, report.state.value.encode()))


def encode_forwarding_headers(
    age: float, version: int, is_repeat: bool = False
) -> ingress.Headers:
    """Return the headers of a forwarded request; `age` is in seconds."""
    headers = ((VERSION, b"%d" % version), (AGE_MS, b"%d" % round(age * 1000)))
    return (*headers, (REPEAT, b"1")) if is_repeat else headers


def encode_stops_in(seconds: float | None) -> ingress.Headers:
    """Return the headers that say when the forwarding instance stops, if it does."""
    if seconds is None:
        return ()
    return ((STOPS_IN_MS, b"%d" % max(0, round(seconds * 1000))),)


def decode_stops_in(request: ingress.IncomingRequest) -> float | None:
    """Return the seconds until the forwarding instance stops; None if it does not."""
    value = request.header(STOPS_IN_MS) or b""
    return int(value) / 1000 if value.isdigit() else None


def is_repeat(request: ingress.IncomingRequest) -> bool:
    """Return whether another aggregator may already be serving a request."""
    return request.header(REPEAT) is not None


def encode_runs_once(within: float) -> ingress.Headers:
    """Return the header that declines to repeat a request; `within` is in seconds."""
    return ((RUNS_ONCE_WITHIN_MS, b"%d" % round(within * 1000)),)


def forbids_repeat(reply: dialect.HttpReply) -> bool:
    """Return whether an idempotent request must not be forwarded again."""
    return reply.header(NOT_TAKEN) == NO_REPEAT


def decode_runs_once(reply: dialect.HttpReply) -> float | None:
    """Return the seconds allowed to a request that must run at most once, or None."""
    value = reply.header(RUNS_ONCE_WITHIN_MS) or b""
    return int(value) / 1000 if value.isdigit() else None


def decode_age(request: ingress.IncomingRequest) -> float:
    """Return the age, in seconds, of a forwarded request."""
    value = request.header(AGE_MS) or b"0"
    return int(value) / 1000 if value.isdigit() else 0.0


def decode_seen_version(request: ingress.IncomingRequest) -> int:
    """Return the newest version that the forwarding instance has seen."""
    value = request.header(VERSION) or b"0"
    return int(value) if value.isdigit() else 0


def decode_report(reply: dialect.HttpReply) -> Report | None:
    """Return the report in a reply; None if it is missing or malformed."""
    try:
        state = State((reply.header(STATE) or b"").decode("latin-1"))
        return Report(state, int(reply.header(VERSION) or b""))
    except ValueError:
        return None


def encode_notices(
    notices: collections.abc.Iterable[model.TargetNotice],
) -> ingress.Headers:
    """Return the headers that name leaving and pausing targets."""
    leaving, pausing = [], []
    for notice in itertools.islice(notices, MAX_NOTICES):
        name = f"{urllib.parse.quote(notice.target, safe='')}={notice.started}"
        if notice.leaving:
            leaving.append(name)
        if notice.pause is not None:
            pausing.append(f"{name}={round(notice.pause * 1000)}")
    return tuple(
        (header, ",".join(entries).encode())
        for header, entries in ((LEAVING, leaving), (PAUSING, pausing))
        if entries
    )


def decode_notices(reply: dialect.HttpReply) -> tuple[model.TargetNotice, ...]:
    """Return the notices in a reply, without malformed entries."""
    leaving = [
        model.TargetNotice(name, started, leaving=True)
        for name, (started,) in _decode_entries(reply, LEAVING, 1)
    ]
    pausing = [
        model.TargetNotice(name, started, pause=milliseconds / 1000)
        for name, (started, milliseconds) in _decode_entries(reply, PAUSING, 2)
    ]
    return (*leaving, *pausing)


def _decode_entries(
    reply: dialect.HttpReply, header: bytes, count: int
) -> collections.abc.Iterator[tuple[str, list[int]]]:
    """Yield each name in a header with its `count` numbers."""
    for entry in (reply.header(header) or b"").decode("latin-1").split(","):
        name, *numbers = entry.split("=")
        is_valid = all(
            each.isascii() and each.isdigit() and len(each) <= MAX_NOTICE_DIGITS
            for each in numbers
        )
        if name and len(numbers) == count and is_valid:
            yield urllib.parse.unquote(name), [int(each) for each in numbers]


def encode_limits(limits: routes.CallerLimits) -> ingress.Headers:
    """Return the header with the limits for callers."""
    values = (
        limits.max_header_bytes,
        limits.max_body_bytes,
        round(limits.header_timeout * 1000),
        round(limits.idle_timeout * 1000),
    )
    return ((LIMITS, b",".join(b"%d" % value for value in values)),)


def decode_limits(reply: dialect.HttpReply) -> routes.CallerLimits | None:
    """Return the limits for callers in a reply; None if missing or malformed."""
    try:
        header_bytes, body_bytes, header_ms, idle_ms = (
            int(value) for value in (reply.header(LIMITS) or b"").split(b",")
        )
    except ValueError:
        return None
    return routes.CallerLimits(
        header_bytes, body_bytes, header_ms / 1000, idle_ms / 1000
    )


def caller_headers(headers: ingress.Headers) -> ingress.Headers:
    """Return the headers for the caller, without those between instances."""
    dropped = HEADERS | ingress.CONNECTION_HEADERS | {b"content-length"}
    return tuple((name, value) for name, value in headers if name not in dropped)


def encode_subquery(subquery: Subquery) -> ingress.Headers:
    """Return the headers of a subquery."""
    shards = b",".join(b"%d" % shard for shard in sorted(subquery.shards))
    return (
        (FANOUT_DIGEST, subquery.fanout_digest.encode()),
        (SHARDS, shards),
        (ANSWER_WITHIN_MS, b"%d" % round(subquery.answer_within * 1000)),
    )


def decode_subquery(request: ingress.IncomingRequest) -> Subquery | None:
    """Return the subquery of a request; None if it is for the whole request."""
    shards = request.header(SHARDS)
    if shards is None:
        return None
    try:
        wanted = frozenset(int(shard) for shard in shards.split(b","))
        answer_within = int(request.header(ANSWER_WITHIN_MS) or b"") / 1000
    except ValueError:
        # Matches no route, so that the request is declined.
        return Subquery("", frozenset(), 0.0)
    fanout_digest = (request.header(FANOUT_DIGEST) or b"").decode("latin-1")
    return Subquery(fanout_digest, wanted, answer_within)


def encode_signatures(
    signatures: collections.abc.Mapping[int, str],
) -> ingress.Headers:
    """Return the header of a reply to a subquery."""
    entries = (f"{shard}={signature}" for shard, signature in signatures.items())
    return ((SHARDS, ",".join(entries).encode("latin-1")),)


def decode_signatures(reply: dialect.HttpReply) -> dict[int, str]:
    """Return the signature by shard in a reply; empty if missing or malformed."""
    signatures = {}
    for entry in (reply.header(SHARDS) or b"").decode("latin-1").split(","):
        shard, _, signature = entry.partition("=")
        if not shard.isdigit() or not signature:
            return {}
        signatures[int(shard)] = signature
    return signatures
