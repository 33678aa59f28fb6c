"""Status sections and gauges of the entry policy and the control plane."""

import collections.abc
import dataclasses

import msgspec

from jackdawpass.process import control, policy
from jackdawpass.request import model

Gauges = collections.abc.Mapping[str, float]


class PolicySection:
    """Status and gauges of the policy: state by target and budget by service."""

    name = "policy"

    def __init__(self, entry_policy: policy.Policy) -> None:
        self._policy = entry_policy

    def status(self, now: float) -> model.JsonObject:
        """Return limits, latencies and states by target, and budgets by service."""
        return dataclasses.asdict(self._policy.report(now))

    def gauges(self, now: float) -> Gauges:
        """Return the gauges of limits, ejections and budgets."""
        report = self._policy.report(now)
        gauges = {}
        for name, target in report.targets.items():
            gauges[f"limits.{name}"] = target.limit
            gauges[f"ejected.{name}"] = float(target.ejected)
        for name, service in report.services.items():
            gauges[f"budgets.{name}"] = service.budget
        return gauges


class ControlSection:
    """Status and gauges of the control plane."""

    name = "control"

    def __init__(self, instance_control: control.ControlPlane) -> None:
        self._control = instance_control

    def status(self, now: float) -> model.JsonObject:
        """Return the same document as ``GET /v1/control``."""
        document: model.JsonObject = msgspec.to_builtins(self._control.status)
        return document

    def gauges(self, now: float) -> Gauges:
        """Return the number of platform calls since the start, by kind."""
        calls = dataclasses.asdict(self._control.status.calls)
        return {f"platform_calls.{kind}": count for kind, count in calls.items()}
