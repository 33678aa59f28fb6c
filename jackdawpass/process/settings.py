"""Settings of an entry instance from a file, environment variables and flags."""

import collections.abc
import dataclasses
import ipaddress
import json
import typing

import cattrs
import jsonc
from returns import result

from jackdawpass import errors, validation

ENVIRONMENT_PREFIX = "JACKDAWPASS_"


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry instance.

    Attributes
    ----------
    instance : str
        Name of the instance, unique among running instances.
    zone : str
        Availability zone of the instance.
    site : str
        Site whose overlay applies.
    host, port : str, int
        Address for callers; port 0 selects a free port.
    platform_url : str
        Base URL of the platform's object API.
    max_body_bytes : int
        Maximum size of a request body from a caller.
    peer_host, peer_port : str, int
        Address for other entry instances; port 0 selects a free port.
    peer_address : str
        ``host:port`` at which others reach this instance, if it differs from the
        listening address.
    seeds : list of str
        ``host:port`` of the entry instances to contact first.
    drain_grace_seconds : float
        Time from failing ``/readyz`` to closing the listening port; it must be
        longer than the load balancer needs to stop sending requests.
    drain_timeout_seconds : float
        Maximum time for running requests after the listening port is closed.
    log_share : float
        Fraction of requests, from 0 to 1, whose lines may be logged.
    log_lines_per_second : float
        Average rate of lines about sampled requests.
    log_errors_per_second : float
        Average rate of error lines and of lines about the process.
    events : int
        Number of events kept in memory for ``/v1/events``.
    statsd_host, statsd_port : str, int
        IPv4 address and UDP port of the statsd server; port 0 disables metrics.
    statsd_prefix : str
        Prefix of the metric names.
    """

    instance: str
    zone: str
    site: str
    host: str = "127.0.0.1"
    port: int = 0
    platform_url: str = "http://127.0.0.1:8500"
    max_body_bytes: int = 1024 * 1024
    peer_host: str = "127.0.0.1"
    peer_port: int = 0
    peer_address: str = ""
    seeds: list[str] = dataclasses.field(default_factory=list)
    drain_grace_seconds: float = 5.0
    drain_timeout_seconds: float = 60.0
    log_share: float = 1.0
    log_lines_per_second: float = 500.0
    log_errors_per_second: float = 50.0
    events: int = 20_000
    statsd_host: str = "127.0.0.1"
    statsd_port: int = 0
    statsd_prefix: str = "jackdawpass"


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """Validated settings and the origin of each value."""

    settings: EntrySettings
    origins: collections.abc.Mapping[str, str]


ParseResult = result.Result[EntrySettings, errors.InvalidConfiguration]
LoadResult = result.Result[EffectiveSettings, errors.InvalidConfiguration]

FIELDS: dict[str, type] = typing.get_type_hints(EntrySettings)
RANGES = validation.Ranges(
    {
        (EntrySettings, "port"): validation.Range(0, 65_535),
        (EntrySettings, "peer_port"): validation.Range(0, 65_535),
        (EntrySettings, "statsd_port"): validation.Range(0, 65_535),
        (EntrySettings, "max_body_bytes"): validation.Range(1, 1 << 30),
        (EntrySettings, "drain_grace_seconds"): validation.Range(0, 3600),
        (EntrySettings, "drain_timeout_seconds"): validation.Range(0, 3600),
        (EntrySettings, "log_share"): validation.Range(0, 1),
        (EntrySettings, "log_lines_per_second"): validation.Range(0, 1e6),
        (EntrySettings, "log_errors_per_second"): validation.Range(0, 1e6),
        (EntrySettings, "events"): validation.Range(1, 10_000_000),
    }
)


def parse(text: str) -> ParseResult:
    """Parse and validate the text of a settings file, JSON with comments."""
    return load(text, "settings file", {}, {}).map(lambda loaded: loaded.settings)


def load(
    text: str,
    source: str,
    environment: collections.abc.Mapping[str, str],
    flags: collections.abc.Mapping[str, str],
) -> LoadResult:
    """Merge settings in order of precedence: defaults, file, environment, flags.

    Later sources override earlier ones.

    Parameters
    ----------
    text : str
        Content of the settings file, JSON with comments; empty for no file.
    source : str
        Name of the settings file, for messages.
    environment : mapping of str to str
        Environment variables; those without `ENVIRONMENT_PREFIX` are ignored.
    flags : mapping of str to str
        Values of the given flags by field name.

    Returns
    -------
    Result of EffectiveSettings or InvalidConfiguration
        The failure contains all faults with path, origin and remedy.
    """
    try:
        document: typing.Any = jsonc.loads(text) if text else {}
    except ValueError as error:
        return _failure([errors.Fault(source, str(error), "correct the JSON")])
    if not isinstance(document, dict):
        return _failure([errors.Fault(source, "is not an object", "use {...}")])
    origins = {name: "default" for name in FIELDS}
    origins.update({name: f"file {source}" for name in document})
    faults = []
    for name, value, origin in _environment_and_flags(environment, flags):
        if name not in FIELDS:
            known = [ENVIRONMENT_PREFIX + field.upper() for field in FIELDS]
            remedy = validation.suggest_name(
                origin.split()[-1], known, "known variables"
            )
            faults.append(errors.Fault(origin, "is unknown", remedy))
            continue
        document[name] = _decode(value, FIELDS[name])
        origins[name] = origin
    return _validate(document, origins, faults)


def flag_name(name: str) -> str:
    """Return the flag that sets a field."""
    return "--" + name.replace("_", "-")


def _environment_and_flags(
    environment: collections.abc.Mapping[str, str],
    flags: collections.abc.Mapping[str, str],
) -> typing.Iterator[tuple[str, str, str]]:
    for variable, value in sorted(environment.items()):
        if variable.startswith(ENVIRONMENT_PREFIX):
            name = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
            yield name, value, f"environment {variable}"
    for name, value in flags.items():
        yield name, value, f"flag {flag_name(name)}"


def _decode(text: str, kind: type) -> object:
    """Decode the JSON value of a variable or flag; strings need no quotes."""
    if kind is str:
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text


def _validate(
    document: dict[str, typing.Any],
    origins: collections.abc.Mapping[str, str],
    faults: list[errors.Fault],
) -> LoadResult:
    faults.extend(validation.validate(document, EntrySettings, RANGES))
    faults.extend(_text_faults(document))
    if faults:
        return _failure(_with_origins(faults, origins))
    structured = cattrs.structure(document, EntrySettings)
    return result.Success(EffectiveSettings(structured, origins))


def _with_origins(
    faults: collections.abc.Iterable[errors.Fault],
    origins: collections.abc.Mapping[str, str],
) -> list[errors.Fault]:
    faults_with_origin = []
    for fault in faults:
        origin = origins.get(fault.path.split(".")[0], "default")
        path = fault.path if origin == "default" else f"{fault.path} ({origin})"
        faults_with_origin.append(dataclasses.replace(fault, path=path))
    return faults_with_origin


def _failure(faults: collections.abc.Iterable[errors.Fault]) -> LoadResult:
    return result.Failure(errors.InvalidConfiguration(tuple(faults)))


def _text_faults(document: dict[str, typing.Any]) -> typing.Iterator[errors.Fault]:
    # Missing, empty and mistyped values are reported by `validation.validate`.
    texts_by_name = {
        name: text for name, text in document.items() if text and type(text) is str
    }
    url = texts_by_name.get("platform_url", "http://")
    if not url.startswith(("http://", "https://")):
        remedy = "use http://HOST:PORT"
        yield errors.Fault("platform_url", "is not an HTTP URL", remedy)
    # The zone is sent to targets in a header.
    zone = texts_by_name.get("zone", "")
    if not zone.isascii() or not zone.isprintable():
        remedy = "use printable ASCII characters"
        yield errors.Fault("zone", f"{zone!r} cannot be sent in a header", remedy)
    if not _is_ipv4(texts_by_name.get("statsd_host", "127.0.0.1")):
        # Resolving a host name could block the event loop.
        remedy = "use an address such as 127.0.0.1"
        yield errors.Fault("statsd_host", "is not an IPv4 address", remedy)


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
