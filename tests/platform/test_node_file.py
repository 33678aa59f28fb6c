"""Tests of parsing the settings file that the platform provides."""

import pytest
from returns import result

from jackdawpass.platform import node_file
from jackdawpass.process.serving import settings

TEXT = """
node = "front-1"
zone = "a"
later = "ignored"
ip = "10.0.0.1"
internal_port_range = [7380, 7395]
[listen]
front = "10.0.0.1:80"
readiness_address = "10.0.0.1:81"
[limits]
cpu_share = 0.5
cores = 2
link_mbps = 100
memory_mb = 200
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 129
[platform]
address = "10.9.0.1:8102"
"""


def test_file_becomes_settings() -> None:
    """Guards against settings with wrong units, or with the address of another key."""
    parsed = node_file.parse(TEXT).unwrap()
    assert (parsed.instance, parsed.zone) == ("front-1", "a")
    assert parsed.callers == settings.Address("10.0.0.1", 80)
    assert parsed.store == settings.Address("10.9.0.1", 8102)
    assert parsed.peers == settings.Address("10.0.0.1", 7380)
    assert parsed.capacity == 100
    assert parsed.repeats.slack == 129
    assert parsed.stop_seconds == 6
    assert parsed.memory_bytes == 200 * 1024 * 1024


def test_all_faults_are_reported_at_once() -> None:
    """Guards against reporting only the first of several faults."""
    text = TEXT.replace('zone = "a"', "zone = 3").replace("grace_s = 6", "")
    text = text.replace('"10.9.0.1:8102"', '"nowhere"')
    failure = node_file.parse(text).failure()
    assert {fault.path for fault in failure.faults} == {
        "zone",
        "bounds.grace_s",
        "platform.address",
    }


@pytest.mark.parametrize("text", ["node = ", "", "[listen]\nfront = 1"])
def test_unreadable_file_is_a_fault(text: str) -> None:
    """Guards against a process that starts without valid settings."""
    assert isinstance(node_file.parse(text), result.Failure)
