"""Status and gauges of the policy and of control, for operators."""

import collections.abc
import dataclasses

import msgspec

from jackdawpass.process import control, policy
from jackdawpass.request import model

Gauges = collections.abc.Mapping[str, float]


class PolicySection:
    """What the policy has learned of its targets and services."""

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
    """Version, members, links and counters of control."""

    name = "control"

    def __init__(self, owner: control.Control) -> None:
        self._control = owner

    def status(self, now: float) -> model.JsonObject:
        """Return the document that ``GET /v1/control`` gives as well."""
        document: model.JsonObject = msgspec.to_builtins(self._control.status)
        return document

    def gauges(self, now: float) -> Gauges:
        """Return the number of platform calls since the start, by kind."""
        calls = dataclasses.asdict(self._control.status.calls)
        return {f"platform_calls.{kind}": count for kind, count in calls.items()}
