"""Tests of the metrics and their descriptions."""

import pathlib
import re
import socket

import pytest

from jackdawpass.process import metrics

PACKAGE = pathlib.Path(metrics.__file__).parents[1]


def test_measurements_arrive_in_statsd_format() -> None:
    """Guards against names, types or units that differ from the documented ones."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        client = metrics.make("127.0.0.1", server.getsockname()[1], "jp")
        client.counter("requests")
        client.gauge("coverage", 99.5)
        client.timing("latency", 0.25)
        received = [server.recv(2000).decode() for _ in range(3)]
    assert received == [
        "jp.requests:1|c",
        "jp.coverage:99.5|g",
        "jp.latency:250.000000|ms",
    ]


def test_socket_never_blocks_and_failures_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a full send buffer that stops the event loop."""
    client = metrics.StatsdMetrics("127.0.0.1", 9, "jp")
    assert client._client._sock.getblocking() is False

    class FullSocket:
        def sendto(self, data: bytes, address: object) -> int:
            raise BlockingIOError

    monkeypatch.setattr(client._client, "_sock", FullSocket())
    client.counter("requests")
    assert client.dropped == 1
    with pytest.raises(ValueError, match="not an IPv4 address"):
        metrics.StatsdMetrics("statsd.example", 8125, "jp")


def test_every_metric_that_is_sent_is_described() -> None:
    """Guards against metrics without a description."""
    pattern = re.compile(r'\.(counter|gauge|timing)\(\s*f?"([^"{]*)(\{[^}]*\})?"')
    used = set()
    for path in PACKAGE.rglob("*.py"):
        for kind, name, variable in pattern.findall(path.read_text()):
            used.add((kind, name, bool(variable)))
    described = {
        (metric.kind.value, name.split("<")[0], "<" in name)
        for name, metric in metrics.DESCRIPTIONS.items()
    }
    assert used
    assert used <= described


def test_documentation_lists_all_metrics() -> None:
    """Guards against documentation for operators that lacks a metric."""
    page = (PACKAGE.parent / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    for name, metric in metrics.DESCRIPTIONS.items():
        row = f"| `{name}` | {metric.kind.value} | {metric.unit} | {metric.meaning} |"
        assert row in page
