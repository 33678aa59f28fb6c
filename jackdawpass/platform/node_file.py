"""Decodes the settings file that the platform lays down for a process."""

import collections.abc
import tomllib
import typing

from returns import result

from jackdawpass import errors
from jackdawpass.process.serving import repeats, settings

PATH_VARIABLE = "JACKDAWPASS_NODE_FILE"
DEFAULT_PATH = "/etc/jackdawpass/node.toml"

_NAMES = {
    "node": str,
    "zone": str,
    "listen.front": str,
    "listen.readiness_address": str,
    "platform.address": str,
    "bounds.grace_s": float,
    "bounds.retry_budget_ratio": float,
    "bounds.retry_window_s": float,
    "bounds.retry_budget_slack": float,
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
    for name, kind in _NAMES.items():
        try:
            values[name] = _convert(_find(document, name), kind)
        except (KeyError, ValueError) as error:
            faults.append(
                errors.Fault(
                    name, f"is missing or no {kind.__name__} ({error})", "set it"
                )
            )
    if faults:
        return result.Failure(errors.InvalidConfiguration(tuple(faults)))
    return result.Success(
        settings.FrontSettings(
            instance=values["node"],
            zone=values["zone"],
            callers=settings.Address.parse(values["listen.front"]),
            readiness=settings.Address.parse(values["listen.readiness_address"]),
            store=settings.Address.parse(values["platform.address"]),
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


def _convert(value: typing.Any, kind: type) -> typing.Any:
    if (
        kind is float
        and isinstance(value, (int, float))
        and not isinstance(value, bool)
    ):
        return float(value)
    if not isinstance(value, kind):
        raise ValueError(repr(value))
    return value
