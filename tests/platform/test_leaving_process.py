"""Real processes and targets that announce in their replies that they leave."""

import collections.abc
import concurrent.futures
import pathlib
import time

import pytest

from soak import proxy
from tests import rig
from tests.platform import site

DRAIN_SECONDS = site.DRAIN_MS / 1000
ROUTES = [
    site.route("lookup", service="s0"),
    site.route("search", fanout=["s0", "s1"], top_k=3, min_shard_ratio=0.5),
]


@pytest.fixture
def proxies() -> collections.abc.Iterator[proxy.Proxies]:
    """Provide proxies, which are closed after the test."""
    opened = proxy.Proxies()
    yield opened
    opened.close()


@pytest.fixture
def deployment(processes: rig.Rig, tmp_path: pathlib.Path) -> site.Site:
    """Start the store, a target of one shard and two of the other."""
    started = site.Site(processes, tmp_path)
    started.add_target("leaves", "s0")
    started.add_target("stays", "s0", "b")
    started.add_target("other", "s1")
    started.configure(1, ROUTES)
    return started


def _send_until(front: site.Front, seconds: float, path: str) -> list[site.Reply]:
    """Send requests one after the other for some seconds."""
    replies: list[site.Reply] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        replies.append(front.request(path, f"q-{len(replies)}", 1000))
    return replies


@pytest.mark.parametrize("path", ["/lookup/x", "/search/x"])
def test_leaving_target_gets_no_more_requests_during_an_outage(
    deployment: site.Site, proxies: proxy.Proxies, path: str
) -> None:
    """Guards against requests to a target that only its own replies call leaving."""
    link = proxies.add(deployment.store.port)
    front = deployment.start_front(store_port=link.port)
    rig.wait_for(front.ready, "the front is ready")
    proxies.set_mode(link, proxy.Mode.SILENT)
    deployment.inject_faults(deployment.targets["leaves"], leaving=True)
    rig.wait_for(
        lambda: front.request(path).status == 200 and _is_announced(front),
        "the target has announced that it leaves",
    )
    runs = len(deployment.runs("leaves"))
    replies = _send_until(front, 2 * DRAIN_SECONDS, path)
    assert {reply.status for reply in replies} == {200}
    assert len(deployment.runs("leaves")) == runs


def test_last_target_serves_until_its_drain_time(
    deployment: site.Site, proxies: proxy.Proxies
) -> None:
    """Guards against refusals while a leaving target serves, and requests after it."""
    front = deployment.add_front()
    deployment.inject_faults(deployment.targets["stays"], mode="reset", leaving=True)
    deployment.inject_faults(deployment.targets["leaves"], leaving=True)
    deployment.list_target("stays", state="draining")
    rig.wait_for(
        lambda: '"leaving":1' in "".join(front.process.lines), "one target is left"
    )
    assert front.request("/lookup/x").status == 200
    announced_at = time.monotonic()
    assert front.request("/lookup/x").status == 200
    time.sleep(max(0.0, announced_at + DRAIN_SECONDS - time.monotonic()))
    runs = len(deployment.runs("leaves"))
    started = time.monotonic()
    assert front.request("/lookup/x").status == 503
    assert time.monotonic() - started < DRAIN_SECONDS
    assert len(deployment.runs("leaves")) == runs


@pytest.mark.parametrize("path", ["/lookup/x", "/search/x"])
def test_pausing_target_gets_at_most_two_requests(
    deployment: site.Site, path: str
) -> None:
    """Guards against requests to a target that has asked for a pause."""
    front = deployment.add_front()
    # The other target is slow, so that each request would be hedged.
    deployment.inject_faults(deployment.targets["stays"], slow_ms=200)
    target = deployment.targets["leaves"]
    deployment.inject_faults(target, mode="shed", retry_after="2")
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        sent = [executor.submit(_send_until, front, 2.0, path) for _ in range(4)]
    assert {reply.status for each in sent for reply in each.result()} == {200}
    refused_at = deployment.refusals("leaves")
    assert refused_at
    # From half a second after the refusal until the end of the pause.
    late = [at for at in refused_at if 0.5 < at - refused_at[0] < 2.0]
    assert len(late) <= 2


def test_pause_of_all_targets_refuses_at_once(deployment: site.Site) -> None:
    """Guards against requests that wait while every target wants a pause."""
    front = deployment.add_front()
    for name in ("leaves", "stays"):
        deployment.inject_faults(
            deployment.targets[name], mode="shed", retry_after="30"
        )
    rig.wait_for(
        lambda: (
            front.request("/lookup/x").status == 503
            and sum('"target_pauses"' in line for line in front.process.lines) == 2
        ),
        "both targets pause",
    )
    refusals = sum(len(deployment.refusals(name)) for name in ("leaves", "stays"))
    started = time.monotonic()
    reply = front.request("/lookup/x", "r2")
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 20
    assert time.monotonic() - started < 0.5
    after = sum(len(deployment.refusals(name)) for name in ("leaves", "stays"))
    assert after == refusals


def _is_announced(front: site.Front) -> bool:
    return any('"target_leaves"' in line for line in front.process.lines)
