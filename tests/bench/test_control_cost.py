"""Tests of the configuration whose control costs are measured."""

from jackdawpass.bench import control_cost
from jackdawpass.version import catalog


def test_measured_configuration_is_valid() -> None:
    """Guards against measuring a configuration that instances refuse as invalid."""
    contents = {
        name: content
        for number in range(control_cost.SERVICE_COUNT)
        for name, content in control_cost.service_parts(number, 1).items()
    }
    built = catalog.build(1, "site", contents).unwrap()
    assert len(built.services) == control_cost.SERVICE_COUNT
