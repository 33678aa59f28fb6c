"""Process settings of an entry instance."""

import dataclasses
import typing

import cattrs
import jsonc
from returns import result

from jackdawpass import errors


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry instance.

    Attributes
    ----------
    instance : str
        Name of the instance, unique while it lives.
    zone : str
        Availability zone of the instance.
    site : str
        Site whose overlay applies.
    host, port : str, int
        Address for callers; port 0 takes a free one.
    platform_url : str
        Base URL of the platform's object API.
    max_body_bytes : int
        Largest request body accepted from a caller.
    peer_host, peer_port : str, int
        Address for other entry instances; port 0 takes a free one.
    peer_address : str
        ``host:port`` at which others reach this instance, if it differs from the
        address it listens on.
    seeds : list of str
        ``host:port`` of entry instances to ask first.
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


Parsed = result.Result[EntrySettings, errors.InvalidConfiguration]


def parse(text: str) -> Parsed:
    """Check the text of a settings file, JSON with comments."""
    try:
        document: typing.Any = jsonc.loads(text)
        return result.Success(cattrs.structure(document, EntrySettings))
    except Exception as error:
        fault = errors.Fault("settings", str(error), "correct the settings file")
        return result.Failure(errors.InvalidConfiguration((fault,)))
