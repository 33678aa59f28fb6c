"""Parser of the settings file that the platform provides for a process."""

import collections.abc
import tomllib
import typing

from returns import result

from jackdawpass import errors
from jackdawpass.process.serving import repeats, settings

PATH_VARIABLE = "JACKDAWPASS_NODE_FILE"
DEFAULT_PATH = "/etc/jackdawpass/node.toml"

Converter = collections.abc.Callable[[typing.Any], typing.Any]


def _parse_string(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _parse_number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _parse_address(value: typing.Any) -> settings.Address:
    return settings.Address.parse(_parse_string(value))


def _parse_first_port(value: typing.Any) -> int:
    if not isinstance(value, list) or not value or not isinstance(value[0], int):
        raise ValueError(f"{value!r} is not a port range")
    return value[0]


_CONVERTERS: dict[str, Converter] = {
    "node": _parse_string,
    "zone": _parse_string,
    "listen.front": _parse_address,
    "listen.readiness_address": _parse_address,
    "platform.address": _parse_address,
    "ip": _parse_string,
    "internal_port_range": _parse_first_port,
    "limits.cpu_share": _parse_number,
    "limits.cores": _parse_number,
    "limits.link_mbps": _parse_number,
    "limits.memory_mb": _parse_number,
    "bounds.grace_s": _parse_number,
    "bounds.drain_ms": _parse_number,
    "bounds.retry_budget_ratio": _parse_number,
    "bounds.retry_window_s": _parse_number,
    "bounds.retry_budget_slack": _parse_number,
}
# Values of settings that may be missing.
_DEFAULTS: dict[str, typing.Any] = {"bounds.drain_ms": 0.0}


def parse(
    text: str,
) -> result.Result[settings.FrontSettings, errors.InvalidConfiguration]:
    """Parse the settings of an instance, or return all faults of the file."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = errors.Fault("settings file", str(error), "correct the TOML")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    values: dict[str, typing.Any] = {}
    faults = []
    for name, convert in _CONVERTERS.items():
        try:
            values[name] = convert(_look_up(document, name))
        except KeyError:
            if name in _DEFAULTS:
                values[name] = _DEFAULTS[name]
                continue
            faults.append(errors.Fault(name, "is missing", "set it"))
        except ValueError as error:
            faults.append(errors.Fault(name, str(error), "correct it"))
    if faults:
        return result.Failure(errors.InvalidConfiguration(tuple(faults)))
    return result.Success(
        settings.FrontSettings(
            instance=values["node"],
            zone=values["zone"],
            callers=values["listen.front"],
            readiness=values["listen.readiness_address"],
            store=values["platform.address"],
            peers=settings.Address(values["ip"], values["internal_port_range"]),
            capacity=values["limits.cpu_share"]
            * values["limits.cores"]
            * values["limits.link_mbps"],
            stop_seconds=values["bounds.grace_s"],
            repeats=repeats.RepeatLimits(
                ratio=values["bounds.retry_budget_ratio"],
                slack=values["bounds.retry_budget_slack"],
                window=values["bounds.retry_window_s"],
            ),
            drain_seconds=values["bounds.drain_ms"] / 1000,
            memory_bytes=round(values["limits.memory_mb"] * 1024 * 1024),
        )
    )


def _look_up(
    document: collections.abc.Mapping[str, typing.Any], name: str
) -> typing.Any:
    value: typing.Any = document
    for key in name.split("."):
        if not isinstance(value, dict):
            raise KeyError(name)
        value = value[key]
    return value
