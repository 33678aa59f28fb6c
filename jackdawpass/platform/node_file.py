"""Decodes the settings file that the platform lays down for a process."""

import collections.abc
import tomllib
import typing

from returns import result

from jackdawpass import errors
from jackdawpass.process.serving import repeats, settings

PATH_VARIABLE = "JACKDAWPASS_NODE_FILE"
DEFAULT_PATH = "/etc/jackdawpass/node.toml"

Converter = collections.abc.Callable[[typing.Any], typing.Any]


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text")
    return value


def _number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is no number")
    return float(value)


def _address(value: typing.Any) -> settings.Address:
    return settings.Address.parse(_text(value))


def _first_port(value: typing.Any) -> int:
    if not isinstance(value, list) or not value or not isinstance(value[0], int):
        raise ValueError(f"{value!r} is no range of ports")
    return value[0]


_CONVERTERS: dict[str, Converter] = {
    "node": _text,
    "zone": _text,
    "listen.front": _address,
    "listen.readiness_address": _address,
    "platform.address": _address,
    "ip": _text,
    "internal_port_range": _first_port,
    "limits.cpu_share": _number,
    "limits.cores": _number,
    "limits.link_mbps": _number,
    "bounds.grace_s": _number,
    "bounds.retry_budget_ratio": _number,
    "bounds.retry_window_s": _number,
    "bounds.retry_budget_slack": _number,
}


def parse(
    text: str,
) -> result.Result[settings.FrontSettings, errors.InvalidConfiguration]:
    """Return the instance's settings, or every fault that the file has."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = errors.Fault("settings file", str(error), "correct the TOML")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    values: dict[str, typing.Any] = {}
    faults = []
    for name, convert in _CONVERTERS.items():
        try:
            values[name] = convert(_find(document, name))
        except KeyError:
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
        )
    )


def _find(document: collections.abc.Mapping[str, typing.Any], name: str) -> typing.Any:
    found: typing.Any = document
    for key in name.split("."):
        if not isinstance(found, dict):
            raise KeyError(name)
        found = found[key]
    return found
